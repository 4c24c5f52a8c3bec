//! The dialing side of the stream for news: what another daemon tells, and
//! what this one asks it for.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use filbert_policy::organisations::quota::TokenGrant;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::Request;

use crate::asking::VersionAsker;
use crate::body::next_data;
use crate::links::{LinkError, NEWS_PATH, OPEN_TIMEOUT};
use crate::messages::{encode, take, LinkMessage, TargetState, TargetStatus};
use crate::metrics::CrossZoneCause;
use crate::peers::Peer;
use crate::state::MeshShared;

/// Time in which changes of hosts settle before a whole list is asked for: many
/// come and go at once, and each is told by itself.
const MEMBERS_SETTLE: Duration = Duration::from_millis(500);

/// Hears news of `peer` over the connection of `sender` until they end, and
/// gives the connection to calls.
pub async fn follow(
    shared: &Rc<MeshShared>,
    peer: &Rc<Peer>,
    sender: SendRequest<Bytes>,
    was_up: &Cell<bool>,
) -> LinkError {
    let (outgoing, incoming) = match open(sender.clone()).await {
        Ok(streams) => streams,
        Err(error) => return error,
    };
    let mut listener = NewsListener {
        shared,
        peer,
        outgoing,
        asker: VersionAsker::new(shared, peer),
        members_due: None,
        was_up,
    };
    let hello = LinkMessage::Hello {
        from: shared.own_address(),
        to: peer.address.id.clone(),
        left: peer.left(),
    };
    if let Err(error) = listener.say(&hello) {
        return error;
    }
    if let Some(suspects) = shared.quarantine.suspects() {
        if let Err(error) = listener.say(&suspects) {
            return error;
        }
    }
    if let Some(rollouts) = shared.all_rollouts() {
        if let Err(error) = listener.say(&rollouts) {
            return error;
        }
    }
    peer.link.replace(Some(sender));
    match listener.hear(incoming).await {
        Ok(()) => LinkError::Ended,
        Err(error) => error,
    }
}

async fn open(sender: SendRequest<Bytes>) -> Result<(SendStream<Bytes>, RecvStream), LinkError> {
    let request = Request::post(NEWS_PATH)
        .body(())
        .map_err(|_| LinkError::Frame)?;
    let mut sender = sender.ready().await?;
    let (answer, outgoing) = sender.send_request(request, false)?;
    let answer = tokio::time::timeout(OPEN_TIMEOUT, answer)
        .await
        .map_err(|_| LinkError::Open)??;
    Ok((outgoing, answer.into_body()))
}

/// One link's news.
struct NewsListener<'a> {
    shared: &'a Rc<MeshShared>,
    peer: &'a Rc<Peer>,
    outgoing: SendStream<Bytes>,
    asker: VersionAsker<'a>,
    /// When the list of hosts behind a checksum is asked for, if it is still
    /// another than this daemon's.
    members_due: Option<(Instant, u64)>,
    was_up: &'a Cell<bool>,
}

impl NewsListener<'_> {
    async fn hear(&mut self, mut incoming: RecvStream) -> Result<(), LinkError> {
        let mut buffer = BytesMut::new();
        loop {
            self.take_messages(&mut buffer)?;
            while let Some(message) = self.peer.next_unsent() {
                self.say(&message)?;
            }
            let ask_at = self.asker.ask_at();
            let members_at = self.members_due.map(|(at, _)| at);
            tokio::select! {
                data = next_data(&mut incoming) => match data {
                    Some(Ok(piece)) => {
                        self.peer.hear(self.shared.clock.now());
                        buffer.extend_from_slice(&piece);
                    }
                    Some(Err(error)) => return Err(LinkError::Protocol(error)),
                    None => return Ok(()),
                },
                () = self.peer.has_unsent.notified() => {}
                () = until(ask_at) => {
                    if let Some(ask) = self.asker.ask() {
                        self.say(&ask)?;
                    }
                }
                () = until(members_at) => self.ask_members()?,
            }
        }
    }

    /// Takes the messages that are whole by now.
    fn take_messages(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        let mut unread = buffer.len();
        while let Some(message) = take(buffer).map_err(|_| LinkError::Frame)? {
            let bytes = unread - buffer.len();
            unread = buffer.len();
            self.shared
                .count_cross_zone_bytes(self.peer, cause_of(&message), bytes);
            if !matches!(message, LinkMessage::NotHere(_)) {
                self.come_up();
            }
            self.take_message(message)?;
        }
        if !buffer.is_empty() {
            self.asker.take_part();
        }
        Ok(())
    }

    /// Notes that the other daemon has spoken on this link.
    fn come_up(&self) {
        if self.was_up.replace(true) {
            return;
        }
        log::info!("event=link_up peer={}", self.peer.address.id);
        if self.peer.is_failing.replace(false) || self.shared.is_upstream(&self.peer.address.id) {
            self.shared.members.changed.notify_one();
        }
    }

    fn take_message(&mut self, message: LinkMessage) -> Result<(), LinkError> {
        let from = self.peer.address.id.as_str();
        match message {
            LinkMessage::InForce { version } => {
                self.peer.version.set(Some(version));
                self.asker.hear(version);
            }
            LinkMessage::Steps { steps } => {
                if !self.shared.offer_steps(&steps, from) {
                    self.shared.versions.wanted.notify_one();
                }
                self.asker.take_answer();
            }
            LinkMessage::Version { deflated } => {
                self.shared.offer_deflated(&deflated, from);
                self.asker.take_answer();
            }
            LinkMessage::NoSteps { are_heavy } => self.asker.lacks_steps(are_heavy),
            LinkMessage::MembersSum(sum) => {
                let is_other = sum != self.shared.members_sum();
                let at = self.shared.clock.now() + MEMBERS_SETTLE;
                self.members_due = is_other.then_some((at, sum));
            }
            LinkMessage::NotHere(other) => {
                self.shared.host_was_replaced(&self.peer.address, other);
                return Err(LinkError::Replaced);
            }
            LinkMessage::WantMembers => self.say(&self.shared.member_list())?,
            other => heard_news(self.shared, self.peer, other),
        }
        Ok(())
    }

    /// Asks for the list of hosts, unless this daemon has it by now.
    fn ask_members(&mut self) -> Result<(), LinkError> {
        let told = self.members_due.take().map(|(_, sum)| sum);
        let is_missed = told != Some(self.shared.members_sum());
        if is_missed && self.shared.is_upstream(&self.peer.address.id) {
            self.say(&LinkMessage::WantMembers)?;
        }
        Ok(())
    }

    fn say(&mut self, message: &LinkMessage) -> Result<(), LinkError> {
        let frame = encode(message);
        self.shared
            .count_cross_zone_bytes(self.peer, cause_of(message), frame.len());
        self.outgoing
            .send_data(frame, false)
            .map_err(LinkError::Protocol)
    }
}

/// Waits until `at`; for ever where there is no such time.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

fn cause_of(message: &LinkMessage) -> CrossZoneCause {
    match message {
        LinkMessage::Target(_) => CrossZoneCause::Load,
        LinkMessage::Suspects(_) => CrossZoneCause::Suspect,
        LinkMessage::Rollouts(_) | LinkMessage::Tallies(_) => CrossZoneCause::Rollout,
        LinkMessage::InForce { .. }
        | LinkMessage::WantVersion { .. }
        | LinkMessage::HeavyVersion
        | LinkMessage::Steps { .. }
        | LinkMessage::NoSteps { .. }
        | LinkMessage::VersionAge(_)
        | LinkMessage::WantClock { .. }
        | LinkMessage::StoreClock { .. }
        | LinkMessage::Version { .. } => CrossZoneCause::Version,
        LinkMessage::RenewPool | LinkMessage::WantTokens { .. } | LinkMessage::Tokens { .. } => {
            CrossZoneCause::Token
        }
        LinkMessage::Hello { .. }
        | LinkMessage::NotHere(_)
        | LinkMessage::WantMembers
        | LinkMessage::Members(_)
        | LinkMessage::MembersSum(_)
        | LinkMessage::HostsChanged(_)
        | LinkMessage::Follow
        | LinkMessage::WantRow { .. }
        | LinkMessage::Store(_) => CrossZoneCause::Member,
    }
}

/// News that need no answer.
fn heard_news(shared: &Rc<MeshShared>, peer: &Peer, message: LinkMessage) {
    let from = peer.address.id.as_str();
    match message {
        LinkMessage::Target(target) => {
            heard_target(peer, target);
            shared.peers.described.notify_waiters();
        }
        LinkMessage::Store(state) => {
            if peer.store.replace(state) != state {
                shared.members.changed.notify_one();
            }
        }
        LinkMessage::Members(list) => {
            let Ok(hosts) = list.unpack() else {
                log::error!("event=members_unreadable from={from}");
                return;
            };
            let reads = !shared.follows();
            if reads && shared.members.is_known.get() {
                // What this daemon read itself tells who is gone; the list may
                // still hold hosts that came since, when it is about to follow.
                for host in hosts {
                    shared.learn_host(host, from);
                }
            } else {
                shared.take_members(hosts, from);
            }
        }
        LinkMessage::HeavyVersion => {
            if shared.follows() {
                log::info!("event=heavy_version_coming from={from}");
                shared.versions.wanted.notify_one();
            }
        }
        LinkMessage::HostsChanged(changes) => shared.take_changes(changes, from),
        LinkMessage::Suspects(calls) => shared.quarantine.hear(&calls, from),
        LinkMessage::Rollouts(news) => shared.hear_rollouts(&news, from),
        LinkMessage::VersionAge(told) => shared.hear_age(told, peer),
        LinkMessage::StoreClock {
            era,
            latest_us,
            asked_us,
        } => {
            let asked = Duration::from_micros(asked_us);
            shared.hear_clock(era, Duration::from_micros(latest_us), asked);
        }
        LinkMessage::Tokens {
            ask,
            granted,
            dry_us,
        } => shared.organisations.hear_grant(
            ask,
            TokenGrant {
                tokens: granted,
                next_token_in: Duration::from_micros(dry_us),
            },
        ),
        LinkMessage::WantTokens { .. }
        | LinkMessage::RenewPool
        | LinkMessage::WantClock { .. }
        | LinkMessage::Tallies(_)
        | LinkMessage::InForce { .. }
        | LinkMessage::MembersSum(_)
        | LinkMessage::Hello { .. }
        | LinkMessage::NotHere(_)
        | LinkMessage::Follow
        | LinkMessage::WantRow { .. }
        | LinkMessage::WantMembers
        | LinkMessage::WantVersion { .. }
        | LinkMessage::Steps { .. }
        | LinkMessage::Version { .. }
        | LinkMessage::NoSteps { .. } => {}
    }
}

fn heard_target(peer: &Peer, target: Option<TargetStatus>) {
    let summary = |target: &Option<(TargetStatus, u32)>| {
        target
            .as_ref()
            .map(|(target, _)| (target.instance.clone(), target.state))
    };
    let before = summary(&peer.target());
    peer.describe(target);
    let after = summary(&peer.target());
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
