//! The listening side of the news stream: sends updates to other daemons, and
//! responds to their requests.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response};

use super::CallerZone;
use crate::body::next_data;
use crate::connection_limit::UsageCell;
use crate::links::{LinkError, NEWS_URL};
use crate::messages::{decode_next, encode, DecodeError, LinkMessage, PeerAddress, RowChange};
use crate::organisations::pools::{self, leases::LinkLeases};
use crate::state::MeshShared;
use crate::versions::StepsUnavailable;

/// Path of the news stream, without scheme and authority.
pub(super) fn news_path() -> &'static str {
    NEWS_URL.strip_prefix("http://peer").unwrap_or(NEWS_URL)
}

/// Serves the news stream of another daemon until the stream ends. Its link is active once the
/// first message has come.
pub(super) async fn serve_news(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    caller_zone: CallerZone,
    link_usage: UsageCell,
) -> Result<(), LinkError> {
    let mut incoming = request.into_body();
    let mut outgoing = respond.send_response(Response::new(()), false)?;
    let mut buffer = BytesMut::new();
    let Some(LinkMessage::Hello {
        from,
        to,
        leaving_instances,
        limit,
    }) = next_message(&mut incoming, &mut buffer).await?
    else {
        return Err(LinkError::InvalidMessage);
    };
    let own = shared.own_address();
    if to != own.id {
        log::info!("event=host_meant_not_here host={to} from={}", from.id);
        outgoing.send_data(encode(&LinkMessage::WrongHost(own)), true)?;
        return Ok(());
    }
    link_usage.set_active();
    let mut subscription = shared.peers.subscribe(&from);
    caller_zone.replace(Some(from.zone.clone()));
    let pool_leases = LinkLeases::new(&shared, &from);
    for key in &leaving_instances {
        shared.gate.mark_left_before_restart(key);
    }
    if let Some((instance, rate)) = &limit {
        shared.gate.restore_limit(instance, *rate);
    }
    for message in initial_news(&shared, &from.zone) {
        outgoing.send_data(encode(&message), false)?;
    }
    handle_hello(&shared, from);
    loop {
        tokio::select! {
            message = next_message(&mut incoming, &mut buffer) => match message? {
                Some(LinkMessage::RequestHostUpdates) => {
                    subscription.wants_host_updates.set(true);
                    if shared.store_state().is_current() {
                        let checksum = LinkMessage::MembersChecksum(shared.members_checksum());
                        outgoing.send_data(encode(&checksum), false)?;
                    }
                }
                Some(LinkMessage::RenewPoolLease { claim }) => pool_leases.renew(claim),
                Some(message) => {
                    if let Some(response) = handle_request(&shared, message) {
                        outgoing.send_data(encode(&response), false)?;
                    }
                }
                None => return Ok(()),
            },
            frame = subscription.frames.recv() => match frame {
                Some(frame) => outgoing.send_data(frame, false)?,
                None => return Ok(()),
            },
        }
    }
}

/// Reads the next message of a stream; `None` at the end of the stream. Cancel safe:
/// data read so far stays in `buffer`.
async fn next_message(
    incoming: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Option<LinkMessage>, LinkError> {
    loop {
        if let Some(message) = decode_next(buffer).map_err(|_| LinkError::InvalidMessage)? {
            return Ok(Some(message));
        }
        match next_data(incoming).await {
            Some(data) => buffer.extend_from_slice(&data?),
            None => return Ok(None),
        }
    }
}

/// Messages that a daemon of `zone` gets first when it links to this one.
fn initial_news(shared: &MeshShared, zone: &str) -> Vec<LinkMessage> {
    let store = shared.store_state();
    let mut news = vec![
        LinkMessage::Target(shared.gate.status()),
        LinkMessage::InForce {
            version: shared.versions.number(),
        },
    ];
    if store.is_current() && zone == shared.settings.borrow().zone {
        news.push(LinkMessage::MembersChecksum(shared.members_checksum()));
    }
    news.push(LinkMessage::Store(store));
    news.extend(shared.version_confirmation());
    news.extend(shared.quarantine.suspects());
    news.extend(shared.all_rollouts());
    // A restarted daemon that cannot reach the store gets the hosts from the daemons that
    // link to it.
    if !shared.members.is_known.get() {
        news.push(LinkMessage::RequestMembers);
    }
    news
}

fn handle_hello(shared: &Rc<MeshShared>, from: PeerAddress) {
    let id = from.id.clone();
    shared.upsert_unregistered_host(from, "hello");
    // A peer that links to this daemon is up: it can be dialed at once, without waiting
    // for the redial delay.
    if let Some(peer) = shared.peers.get(&id) {
        if peer.link.borrow().is_none() {
            peer.dial_now.notify_one();
        }
    }
}

/// Handles a message of the dialing daemon, and returns the response, if there is one
/// to send.
fn handle_request(shared: &Rc<MeshShared>, message: LinkMessage) -> Option<LinkMessage> {
    match message {
        LinkMessage::RequestVersion { have, or_whole } => {
            let versions = &shared.versions;
            Some(match versions.steps_from(have) {
                Ok(steps) => LinkMessage::Steps { steps },
                Err(_) if or_whole => LinkMessage::Version {
                    deflated: versions.deflated().to_vec(),
                },
                Err(reason) => LinkMessage::NoSteps {
                    are_too_large: reason == StepsUnavailable::TooLarge,
                },
            })
        }
        LinkMessage::RequestMembers => Some(shared.member_list()),
        LinkMessage::Members(list) if !shared.members.is_known.get() => {
            match list.decompress() {
                Ok(hosts) => shared.apply_member_list(hosts, "hello"),
                Err(DecodeError) => log::error!("event=members_unreadable from=hello"),
            }
            None
        }
        LinkMessage::RequestRowChange {
            change,
            is_forwarded,
        } => {
            if let RowChange::Write(address) = &change {
                shared.upsert_unregistered_host(address.clone(), "hello");
            }
            if is_forwarded {
                shared.members.rows.enqueue_change(change);
            } else {
                shared.request_row_change(change, true);
            }
            None
        }
        message @ (LinkMessage::RequestTokens { .. } | LinkMessage::BorrowTokens { .. }) => {
            pools::answer(shared, &message)
        }
        LinkMessage::RequestClock { asked_us } => shared.store_clock(asked_us),
        other => {
            handle_update(shared, other);
            None
        }
    }
}

/// Handles an update of the dialing daemon, which needs no response.
fn handle_update(shared: &Rc<MeshShared>, message: LinkMessage) {
    /// Name of the sender in the log.
    const FROM: &str = "a daemon linked here";
    match message {
        LinkMessage::Suspects(calls) => shared.quarantine.merge_suspects(&calls, FROM),
        LinkMessage::Rollouts(news) => shared.merge_rollouts(&news, FROM),
        LinkMessage::TargetReports(tallies) => shared.record_reports(tallies),
        LinkMessage::ReportLoad(report) => shared.record_load_report(report),
        LinkMessage::ZoneLoads(sum) => shared.merge_zone_sum(sum, FROM),
        LinkMessage::Hello { .. }
        | LinkMessage::WrongHost(_)
        | LinkMessage::RequestHostUpdates
        | LinkMessage::RequestVersion { .. }
        | LinkMessage::RequestMembers
        | LinkMessage::RequestRowChange { .. }
        | LinkMessage::RequestTokens { .. }
        | LinkMessage::BorrowTokens { .. }
        | LinkMessage::RequestClock { .. }
        | LinkMessage::RenewPoolLease { .. }
        | LinkMessage::VersionConfirmation(_)
        | LinkMessage::StoreClock { .. }
        | LinkMessage::GrantTokens { .. }
        | LinkMessage::Members(_)
        | LinkMessage::MembersChecksum(_)
        | LinkMessage::HostsChanged(_)
        | LinkMessage::Store(_)
        | LinkMessage::OversizedVersion
        | LinkMessage::Target(_)
        | LinkMessage::InForce { .. }
        | LinkMessage::Steps { .. }
        | LinkMessage::NoSteps { .. }
        | LinkMessage::Version { .. } => {}
    }
}
