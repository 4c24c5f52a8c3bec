//! The dialing side of the news stream: handles the updates that a peer sends, and
//! sends it requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_policy::organisations::quota::TokenGrant;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::Request;

use crate::body::next_data;
use crate::links::{LinkError, NEWS_URL, OPEN_TIMEOUT};
use crate::messages::{decode_next, encode, LinkMessage, TargetState, TargetStatus};
use crate::metrics::CrossZoneCause;
use crate::peers::Peer;
use crate::state::MeshShared;
use crate::version_fetch::VersionFetcher;

/// Delay between a checksum of hosts that differs from this daemon's and the
/// request for the whole list. Often many hosts come and go at once, and the updates
/// on each of them may settle the difference first.
const MEMBERS_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// Opens the news stream to `peer` on the connection of `sender`, makes the
/// connection available to calls, and runs the stream until it ends; returns why it
/// ended. `was_up` is set once the peer has sent a message, other than that it is the
/// wrong host.
pub async fn run_news_stream(
    shared: &Rc<MeshShared>,
    peer: &Rc<Peer>,
    sender: SendRequest<Bytes>,
    was_up: &Cell<bool>,
) -> LinkError {
    let (outgoing, incoming) = match open_stream(sender.clone()).await {
        Ok(streams) => streams,
        Err(error) => return error,
    };
    let mut stream = NewsStream {
        shared,
        peer,
        outgoing,
        fetcher: VersionFetcher::new(shared, peer),
        members_due: None,
        was_up,
    };
    let hello = LinkMessage::Hello {
        from: shared.own_address(),
        to: peer.address.id.clone(),
        leaving_instances: peer.memory.borrow().leaving_instances(),
        limit: peer.memory.borrow().limit(),
    };
    if let Err(error) = stream.send_message(&hello) {
        return error;
    }
    if let Some(suspects) = shared.quarantine.suspects() {
        if let Err(error) = stream.send_message(&suspects) {
            return error;
        }
    }
    if let Some(rollouts) = shared.all_rollouts() {
        if let Err(error) = stream.send_message(&rollouts) {
            return error;
        }
    }
    peer.link.replace(Some(sender));
    match stream.run(incoming).await {
        Ok(()) => LinkError::Closed,
        Err(error) => error,
    }
}

async fn open_stream(
    sender: SendRequest<Bytes>,
) -> Result<(SendStream<Bytes>, RecvStream), LinkError> {
    let request = Request::post(NEWS_URL)
        .body(())
        .map_err(|_| LinkError::InvalidMessage)?;
    let mut sender = sender.ready().await?;
    let (answer, outgoing) = sender.send_request(request, false)?;
    let answer = tokio::time::timeout(OPEN_TIMEOUT, answer)
        .await
        .map_err(|_| LinkError::ConnectFailed)??;
    Ok((outgoing, answer.into_body()))
}

/// The news stream of one link.
struct NewsStream<'a> {
    shared: &'a Rc<MeshShared>,
    peer: &'a Rc<Peer>,
    outgoing: SendStream<Bytes>,
    fetcher: VersionFetcher<'a>,
    /// Checksum of the peer's list of hosts that differed from this daemon's, and the
    /// time at which the list is requested if it still differs.
    members_due: Option<(Instant, u64)>,
    was_up: &'a Cell<bool>,
}

impl NewsStream<'_> {
    async fn run(&mut self, mut incoming: RecvStream) -> Result<(), LinkError> {
        let mut buffer = BytesMut::new();
        loop {
            self.handle_messages(&mut buffer)?;
            while let Some(message) = self.peer.next_unsent() {
                self.send_message(&message)?;
            }
            let next_request_at = self.fetcher.next_request_at();
            let members_at = self.members_due.map(|(at, _)| at);
            tokio::select! {
                data = next_data(&mut incoming) => match data {
                    Some(Ok(data)) => {
                        self.peer.record_received(self.shared.clock.now());
                        buffer.extend_from_slice(&data);
                    }
                    Some(Err(error)) => return Err(LinkError::Protocol(error)),
                    None => return Ok(()),
                },
                () = self.peer.unsent_added.notified() => {}
                () = sleep_until(next_request_at) => {
                    if let Some(request) = self.fetcher.ask() {
                        self.send_message(&request)?;
                    }
                }
                () = sleep_until(members_at) => self.request_members()?,
            }
        }
    }

    /// Handles the complete messages in `buffer`.
    fn handle_messages(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        let mut unread = buffer.len();
        while let Some(message) = decode_next(buffer).map_err(|_| LinkError::InvalidMessage)? {
            let bytes = unread - buffer.len();
            unread = buffer.len();
            self.shared
                .count_cross_zone_bytes(self.peer, cause_of(&message), bytes);
            if !matches!(message, LinkMessage::WrongHost(_)) {
                self.mark_up();
            }
            self.handle_message(message)?;
        }
        if !buffer.is_empty() {
            self.fetcher.record_partial_message();
        }
        Ok(())
    }

    /// Marks the link as up; called for each message from the peer.
    fn mark_up(&self) {
        if self.was_up.replace(true) {
            return;
        }
        log::info!("event=link_up peer={}", self.peer.address.id);
        if self.peer.is_unreachable.replace(false) || self.shared.is_upstream(&self.peer.address.id)
        {
            self.shared.members.changed.notify_one();
        }
    }

    fn handle_message(&mut self, message: LinkMessage) -> Result<(), LinkError> {
        let from = self.peer.address.id.as_str();
        match message {
            LinkMessage::InForce { version } => {
                self.peer.version.set(Some(version));
                self.fetcher.hear(version);
            }
            LinkMessage::Steps { steps } => {
                if !self.shared.apply_steps(&steps, from) {
                    self.shared.versions.store_query_requested.notify_one();
                }
                self.fetcher.record_response();
            }
            LinkMessage::Version { deflated } => {
                self.shared.apply_deflated_version(&deflated, from);
                self.fetcher.record_response();
            }
            LinkMessage::NoSteps { are_too_large } => {
                self.fetcher.record_missing_steps(are_too_large);
            }
            LinkMessage::MembersChecksum(checksum) => {
                let is_different = checksum != self.shared.members_checksum();
                let at = self.shared.clock.now() + MEMBERS_REQUEST_DELAY;
                self.members_due = is_different.then_some((at, checksum));
            }
            LinkMessage::WrongHost(other) => {
                self.shared.handle_host_replaced(&self.peer.address, other);
                return Err(LinkError::HostReplaced);
            }
            LinkMessage::RequestMembers => self.send_message(&self.shared.member_list())?,
            other => handle_update(self.shared, self.peer, other),
        }
        Ok(())
    }

    /// Requests the list of hosts, unless this daemon's list has the same checksum by
    /// now or the peer is not an upstream.
    fn request_members(&mut self) -> Result<(), LinkError> {
        let received = self.members_due.take().map(|(_, checksum)| checksum);
        let is_different = received != Some(self.shared.members_checksum());
        if is_different && self.shared.is_upstream(&self.peer.address.id) {
            self.send_message(&LinkMessage::RequestMembers)?;
        }
        Ok(())
    }

    fn send_message(&mut self, message: &LinkMessage) -> Result<(), LinkError> {
        let frame = encode(message);
        self.shared
            .count_cross_zone_bytes(self.peer, cause_of(message), frame.len());
        self.outgoing
            .send_data(frame, false)
            .map_err(LinkError::Protocol)
    }
}

/// Sleeps until `at`; for ever if `at` is `None`.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

fn cause_of(message: &LinkMessage) -> CrossZoneCause {
    match message {
        LinkMessage::Target(_) | LinkMessage::ReportLoad(_) | LinkMessage::ZoneLoads(_) => {
            CrossZoneCause::Load
        }
        LinkMessage::Suspects(_) => CrossZoneCause::Suspect,
        LinkMessage::Rollouts(_) | LinkMessage::TargetReports(_) => CrossZoneCause::Rollout,
        LinkMessage::InForce { .. }
        | LinkMessage::RequestVersion { .. }
        | LinkMessage::OversizedVersion
        | LinkMessage::Steps { .. }
        | LinkMessage::NoSteps { .. }
        | LinkMessage::VersionConfirmation(_)
        | LinkMessage::RequestClock { .. }
        | LinkMessage::StoreClock { .. }
        | LinkMessage::Version { .. } => CrossZoneCause::Version,
        LinkMessage::RenewPoolLease { .. }
        | LinkMessage::RequestTokens { .. }
        | LinkMessage::BorrowTokens { .. }
        | LinkMessage::GrantTokens { .. } => CrossZoneCause::Token,
        LinkMessage::Hello { .. }
        | LinkMessage::WrongHost(_)
        | LinkMessage::RequestMembers
        | LinkMessage::Members(_)
        | LinkMessage::MembersChecksum(_)
        | LinkMessage::HostsChanged(_)
        | LinkMessage::RequestHostUpdates
        | LinkMessage::RequestRowChange { .. }
        | LinkMessage::Store(_) => CrossZoneCause::Member,
    }
}

/// Handles an update that needs no response.
fn handle_update(shared: &Rc<MeshShared>, peer: &Peer, message: LinkMessage) {
    let from = peer.address.id.as_str();
    match message {
        LinkMessage::Target(target) => {
            update_target(peer, target, shared.clock.now());
            shared.peers.target_updated.notify_waiters();
        }
        LinkMessage::Store(state) => {
            if peer.store.replace(state) != state {
                shared.members.changed.notify_one();
            }
        }
        LinkMessage::Members(list) => {
            let Ok(hosts) = list.decompress() else {
                log::error!("event=members_unreadable from={from}");
                return;
            };
            let is_reading_store = !shared.follows();
            if is_reading_store && shared.members.is_known.get() {
                // This daemon learns from the store itself which hosts were removed, so it
                // only adds hosts from the list. The list may have hosts that were added
                // since the daemon last read the store, if it is about to follow an
                // upstream.
                shared.upsert_known_hosts(hosts, from);
            } else {
                shared.apply_member_list(hosts, from);
            }
        }
        LinkMessage::OversizedVersion => {
            if shared.follows() {
                log::info!("event=heavy_version_coming from={from}");
                shared.versions.store_query_requested.notify_one();
            }
        }
        LinkMessage::HostsChanged(changes) => shared.apply_host_changes(changes, from),
        LinkMessage::Suspects(calls) => shared.quarantine.merge_suspects(&calls, from),
        LinkMessage::Rollouts(news) => shared.merge_rollouts(&news, from),
        LinkMessage::VersionConfirmation(confirmation) => {
            shared.record_upstream_confirmation(confirmation, peer);
        }
        LinkMessage::StoreClock {
            era,
            latest_us,
            asked_us,
        } => {
            let requested_at = Duration::from_micros(asked_us);
            shared.record_store_clock(era, Duration::from_micros(latest_us), requested_at);
        }
        LinkMessage::GrantTokens {
            request_id,
            granted,
            next_token_in_us,
        } => shared.organisations.deliver_grant(
            request_id,
            TokenGrant {
                tokens: granted,
                next_token_in: Duration::from_micros(next_token_in_us),
            },
        ),
        LinkMessage::ZoneLoads(sum) => shared.merge_zone_sum(sum, from),
        LinkMessage::RequestTokens { .. }
        | LinkMessage::ReportLoad(_)
        | LinkMessage::BorrowTokens { .. }
        | LinkMessage::RenewPoolLease { .. }
        | LinkMessage::RequestClock { .. }
        | LinkMessage::TargetReports(_)
        | LinkMessage::InForce { .. }
        | LinkMessage::MembersChecksum(_)
        | LinkMessage::Hello { .. }
        | LinkMessage::WrongHost(_)
        | LinkMessage::RequestHostUpdates
        | LinkMessage::RequestRowChange { .. }
        | LinkMessage::RequestMembers
        | LinkMessage::RequestVersion { .. }
        | LinkMessage::Steps { .. }
        | LinkMessage::Version { .. }
        | LinkMessage::NoSteps { .. } => {}
    }
}

fn update_target(peer: &Peer, target: Option<TargetStatus>, now: Instant) {
    let summary = |target: &Option<(TargetStatus, u32)>| {
        target
            .as_ref()
            .map(|(target, _)| (target.instance.clone(), target.state))
    };
    let before = summary(&peer.target(now));
    peer.set_target(target, now);
    let after = summary(&peer.target(now));
    if before != after {
        let (instance, state) = match after {
            Some((key, state)) => (key.to_string(), state),
            None => (String::new(), TargetState::Closed),
        };
        log::info!(
            "event=target_heard peer={} instance={instance} state={state:?}",
            peer.address.id
        );
    }
}
