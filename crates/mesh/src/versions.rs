//! The configuration version in force, and the deltas from recent versions to
//! it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use filbert_platform::operator::ConfigDecoder;
use filbert_policy::routing::RouteIndex;
use tokio::sync::Notify;

use crate::deflate;
use crate::messages::{encode, LinkMessage, VersionStep};
use crate::state::MeshShared;
use crate::text_delta::TextDelta;
use crate::version_fetch::FullTextSlot;

/// Maximum number of deltas kept. Covers some seconds of a burst of versions,
/// so that a daemon that missed a few of them still gets deltas.
const MAX_KEPT_STEPS: usize = 24;
/// Maximum total size of the deltas kept, in bytes. Beyond it, sending a whole
/// version costs no more.
const MAX_KEPT_STEP_BYTES: usize = 128 * 1024;

/// Maximum total size of the deltas sent to a peer, in bytes. Every daemon
/// reads larger changes from the store, which has the bandwidth for them: 800
/// new routes are 200 KB, and sending them to half of a zone of 27 hosts would
/// occupy a link of 7.5 Mbit/s for three seconds, more than the time in which a
/// version has to be in force.
const MAX_SENT_STEP_BYTES: usize = 8 * 1024;
/// Maximum size of the store's response beyond the encoded text of the
/// configuration, in bytes.
const MAX_RESPONSE_OVERHEAD_BYTES: usize = 1024;

/// Announces an oversized version to the followers of this daemon as soon as
/// the store begins to send it. Never returns.
///
/// Followers read an oversized version from the store as well. If they started
/// only after their reader had received all of it, two downloads of 0.9 s each
/// on a link of 7.5 Mbit/s would follow one another, within the two seconds in
/// which a version has to be in force.
pub async fn announce_oversized_versions(shared: Rc<MeshShared>) {
    let mut lengths = shared.store.response_lengths();
    while lengths.changed().await.is_ok() {
        let length = usize::try_from(*lengths.borrow_and_update()).unwrap_or(usize::MAX);
        let text = shared.versions.text().len();
        let expected = encoded_length(text) + MAX_RESPONSE_OVERHEAD_BYTES;
        if text > 0
            && length > expected + encoded_length(MAX_SENT_STEP_BYTES)
            && shared.members.is_reader()
        {
            shared.send_to_followers(&LinkMessage::OversizedVersion);
        }
    }
}

/// Length of a value of `bytes` bytes in the store's response, where it is
/// base64: four bytes for every three.
fn encoded_length(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

/// Why a peer cannot be sent deltas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepsUnavailable {
    /// The peer's version is none of those that deltas are kept for.
    Unknown,
    /// The deltas are too large for a link between daemons.
    TooLarge,
}

/// The version in force and the recent deltas.
#[derive(Default)]
pub struct VersionState {
    index: RefCell<Rc<RouteIndex>>,
    text: RefCell<Bytes>,
    /// The deflated text; empty until it is first requested.
    deflated: RefCell<Bytes>,
    steps: RefCell<VecDeque<VersionStep>>,
    decoder: RefCell<ConfigDecoder>,
    /// Requests a query of the store for the configuration now.
    pub store_query_requested: Notify,
    /// Permits one request for a full text at a time, over all peers.
    pub full_text_slot: FullTextSlot,
    /// Whether the last query of the store for the configuration failed.
    pub is_store_unreachable: Cell<bool>,
}

impl VersionState {
    /// Routing index of the version in force.
    #[must_use]
    pub fn index(&self) -> Rc<RouteIndex> {
        Rc::clone(&self.index.borrow())
    }

    /// Number of the version in force; 0 when there is none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.index.borrow().number()
    }

    /// Text of the version in force, as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> Bytes {
        self.text.borrow().clone()
    }

    /// Deflated text of the version in force. It is compressed once and cached
    /// for all peers that request it: uncompressed, 1,200 routes take a quarter
    /// of a second on a link of 10 Mbit/s.
    pub fn deflated(&self) -> Bytes {
        let mut deflated = self.deflated.borrow_mut();
        if deflated.is_empty() {
            *deflated = deflate::compress(&self.text.borrow()).into();
        }
        deflated.clone()
    }

    /// The deltas that lead from version `have` to the one in force.
    ///
    /// # Errors
    /// [`StepsUnavailable`] when they are not kept or too large to be sent.
    pub fn steps_from(&self, have: u64) -> Result<Vec<VersionStep>, StepsUnavailable> {
        let steps = self.steps.borrow();
        let first = steps
            .iter()
            .position(|step| step.from == have)
            .ok_or(StepsUnavailable::Unknown)?;
        let steps_to_send: Vec<VersionStep> = steps.iter().skip(first).cloned().collect();
        let approx_size: usize = steps_to_send
            .iter()
            .map(|step| step.delta.approx_size())
            .sum();
        if approx_size <= MAX_SENT_STEP_BYTES {
            Ok(steps_to_send)
        } else {
            Err(StepsUnavailable::TooLarge)
        }
    }

    fn push_step(&self, step: VersionStep) {
        let mut steps = self.steps.borrow_mut();
        steps.push_back(step);
        let mut bytes: usize = steps.iter().map(|step| step.delta.approx_size()).sum();
        while steps.len() > MAX_KEPT_STEPS || bytes > MAX_KEPT_STEP_BYTES {
            match steps.pop_front() {
                Some(oldest) => bytes -= oldest.delta.approx_size(),
                None => break,
            }
        }
    }
}

impl MeshShared {
    /// Puts the version with this text in force if it is newer than the current
    /// one, and announces it to the peers.
    ///
    /// Versions arrive from the store and from every peer, in any order; only a
    /// higher number is accepted, so the configuration never goes back to an
    /// older version. A text that does not decode completely is rejected as a
    /// whole.
    pub fn apply_version(&self, text: &Bytes, from: &str) {
        let version = match self.versions.decoder.borrow_mut().decode(text) {
            Ok(version) => version,
            Err(error) => {
                log::error!("event=version_refused from={from} error=\"{error}\"");
                return;
            }
        };
        let versions = &self.versions;
        let before = versions.number();
        if version.number <= before {
            return;
        }
        let number = version.number;
        let routes = version.routes.len();
        if before > 0 {
            versions.push_step(VersionStep {
                from: before,
                to: number,
                delta: TextDelta::between(&versions.text(), text),
            });
        }
        let index = Rc::new(RouteIndex::compile(version));
        *versions.index.borrow_mut() = Rc::clone(&index);
        *versions.text.borrow_mut() = text.clone();
        versions.deflated.take();
        log::info!("event=version_in_force version={number:08x} before={before:08x} routes={routes} from={from}");
        let had_limits = self.organisations.has_limits();
        self.gate.apply_limits(index.limits());
        self.organisations.apply_version(&index);
        if self.organisations.has_limits() != had_limits {
            // Readers link to the readers of other zones while there are limits.
            self.members.changed.notify_one();
        }
        self.peers
            .broadcast(&encode(&LinkMessage::InForce { version: number }));
    }

    /// Decompresses the text of a version and puts the version in force if it
    /// is newer than the current one.
    pub fn apply_deflated_version(&self, deflated: &[u8], from: &str) {
        match deflate::decompress(deflated) {
            Ok(text) => self.apply_version(&text.into(), from),
            Err(error) => log::error!("event=version_refused from={from} error=\"{error}\""),
        }
    }

    /// Applies the deltas in `steps` to the version in force. Returns `false`
    /// when they do not start at it or one of them does not apply.
    pub fn apply_steps(&self, steps: &[VersionStep], from: &str) -> bool {
        let versions = &self.versions;
        let mut text = versions.text();
        let mut number = versions.number();
        let first = number;
        for step in steps.iter().skip_while(|step| step.from < first) {
            if step.from != number {
                return false;
            }
            let Ok(next) = step.delta.apply(&text) else {
                let to = step.to;
                log::error!("event=version_step_refused from={from} step={to:08x}");
                return false;
            };
            text = next;
            number = step.to;
        }
        if number > versions.number() {
            self.apply_version(&text, from);
        }
        versions.number() >= number
    }
}
