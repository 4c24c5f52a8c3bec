//! The news that other daemons want, and what they ask for.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response};

use crate::body::next_data;
use crate::links::{LinkError, NEWS_PATH};
use crate::messages::{encode, take, BadMessage, LinkMessage, PeerAddress, RowChange};
use crate::organisations::tokens;
use crate::state::MeshShared;
use crate::versions::StepsUnavailable;

/// Path of the stream for news.
pub(super) fn news_path() -> &'static str {
    NEWS_PATH.strip_prefix("http://peer").unwrap_or(NEWS_PATH)
}

/// Tells another daemon news, and hears what it asks for.
pub(super) async fn serve_news(
    shared: Rc<MeshShared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let mut incoming = request.into_body();
    let mut outgoing = respond.send_response(Response::new(()), false)?;
    let mut buffer = BytesMut::new();
    let Some(LinkMessage::Hello { from, to, left }) =
        next_message(&mut incoming, &mut buffer).await?
    else {
        return Err(LinkError::Frame);
    };
    let own = shared.own_address();
    if to != own.id {
        log::info!("event=host_meant_not_here host={to} from={}", from.id);
        outgoing.send_data(encode(&LinkMessage::NotHere(own)), true)?;
        return Ok(());
    }
    let mut feed = shared.peers.watch(&from);
    for key in &left {
        shared.gate.mark_left_before_restart(key);
    }
    for message in first_news(&shared, &from.zone) {
        outgoing.send_data(encode(&message), false)?;
    }
    heard_hello(&shared, from);
    loop {
        tokio::select! {
            message = next_message(&mut incoming, &mut buffer) => match message? {
                Some(LinkMessage::Follow) => {
                    feed.follows.set(true);
                    if shared.store_state().is_current() {
                        let sum = LinkMessage::MembersSum(shared.members_sum());
                        outgoing.send_data(encode(&sum), false)?;
                    }
                }
                Some(LinkMessage::RenewPool) => feed.renewed.set(Some(shared.clock.now())),
                Some(message) => {
                    if let Some(answer) = answer_to(&shared, message) {
                        outgoing.send_data(encode(&answer), false)?;
                    }
                }
                None => return Ok(()),
            },
            frame = feed.frames.recv() => match frame {
                Some(frame) => outgoing.send_data(frame, false)?,
                None => return Ok(()),
            },
        }
    }
}

/// The next message of a stream; `None` at its end. Loses nothing when it is
/// not waited out: what was read stays in `buffer`.
async fn next_message(
    incoming: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Option<LinkMessage>, LinkError> {
    loop {
        if let Some(message) = take(buffer).map_err(|_| LinkError::Frame)? {
            return Ok(Some(message));
        }
        match next_data(incoming).await {
            Some(piece) => buffer.extend_from_slice(&piece?),
            None => return Ok(None),
        }
    }
}

/// What a daemon of `zone` is told when it links here.
fn first_news(shared: &MeshShared, zone: &str) -> Vec<LinkMessage> {
    let store = shared.store_state();
    let mut news = vec![
        LinkMessage::Target(shared.gate.status()),
        LinkMessage::InForce {
            version: shared.versions.number(),
        },
    ];
    if store.is_current() && zone == shared.settings.borrow().zone {
        news.push(LinkMessage::MembersSum(shared.members_sum()));
    }
    news.push(LinkMessage::Store(store));
    news.extend(shared.version_age());
    news.extend(shared.quarantine.suspects());
    news.extend(shared.all_rollouts());
    // A restarted daemon that cannot reach the store learns here whom to call.
    if !shared.members.is_known.get() {
        news.push(LinkMessage::WantMembers);
    }
    news
}

fn heard_hello(shared: &Rc<MeshShared>, from: PeerAddress) {
    let id = from.id.clone();
    shared.upsert_host(from, "hello");
    // A peer that links here is up: no reason to wait out a pause in dialing it.
    if let Some(peer) = shared.peers.get(&id) {
        if peer.link.borrow().is_none() {
            peer.nudge.notify_one();
        }
    }
}

fn answer_to(shared: &Rc<MeshShared>, message: LinkMessage) -> Option<LinkMessage> {
    match message {
        LinkMessage::WantVersion { have, or_whole } => {
            let versions = &shared.versions;
            Some(match versions.steps_from(have) {
                Ok(steps) => LinkMessage::Steps { steps },
                Err(_) if or_whole => LinkMessage::Version {
                    deflated: versions.deflated().to_vec(),
                },
                Err(untold) => LinkMessage::NoSteps {
                    are_heavy: untold == StepsUnavailable::TooLarge,
                },
            })
        }
        LinkMessage::WantMembers => Some(shared.member_list()),
        LinkMessage::Members(list) if !shared.members.is_known.get() => {
            match list.unpack() {
                Ok(hosts) => shared.apply_member_list(hosts, "hello"),
                Err(BadMessage) => log::error!("event=members_unreadable from=hello"),
            }
            None
        }
        LinkMessage::WantRow {
            change,
            is_passed_on,
        } => {
            if let RowChange::Write(address) = &change {
                shared.upsert_host(address.clone(), "hello");
            }
            if is_passed_on {
                shared.members.rows.enqueue_change(change);
            } else {
                shared.request_row_change(change, true);
            }
            None
        }
        LinkMessage::Suspects(calls) => {
            shared.quarantine.hear(&calls, "a daemon linked here");
            None
        }
        LinkMessage::Rollouts(news) => {
            shared.hear_rollouts(&news, "a daemon linked here");
            None
        }
        LinkMessage::Tallies(tallies) => {
            shared.hear_tallies(tallies);
            None
        }
        LinkMessage::WantTokens {
            ask,
            organisation,
            wanted,
        } => Some(tokens::answer(shared, ask, &organisation, wanted)),
        LinkMessage::WantClock { asked_us } => shared.store_clock(asked_us),
        LinkMessage::Hello { .. }
        | LinkMessage::NotHere(_)
        | LinkMessage::Follow
        | LinkMessage::RenewPool
        | LinkMessage::VersionAge(_)
        | LinkMessage::StoreClock { .. }
        | LinkMessage::Tokens { .. }
        | LinkMessage::Members(_)
        | LinkMessage::MembersSum(_)
        | LinkMessage::HostsChanged(_)
        | LinkMessage::Store(_)
        | LinkMessage::HeavyVersion
        | LinkMessage::Target(_)
        | LinkMessage::InForce { .. }
        | LinkMessage::Steps { .. }
        | LinkMessage::NoSteps { .. }
        | LinkMessage::Version { .. } => None,
    }
}
