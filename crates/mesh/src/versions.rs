//! The version in force, and the steps that led to it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use filbert_platform::operator::ConfigDecoder;
use filbert_policy::routing::RouteIndex;
use tokio::sync::Notify;

use crate::asking::FullTextSlot;
use crate::deflate;
use crate::messages::{encode, LinkMessage, VersionStep};
use crate::state::MeshShared;
use crate::text_delta::TextDelta;

/// Steps remembered: a storm of versions for some seconds, so that a daemon
/// that missed a few still gets small steps.
const MOST_STEPS: usize = 24;
/// Bytes of steps remembered; beyond, a whole version costs as little.
const MOST_BYTES: usize = 128 * 1024;

/// Bytes of steps that are told. What is heavier every daemon gets from the
/// store, which has room for it: 800 new routes are 200 KB, and telling them
/// to half of a zone of 27 would take a link of 7.5 Mbit/s for three seconds,
/// more than a version has.
const MOST_TOLD: usize = 8 * 1024;
/// Bytes of the store's answer around a configuration's text, at most.
const AROUND_TEXT: usize = 1024;

/// Tells the daemons that follow this one of a heavy version as soon as the
/// store begins to give it. Runs for ever.
///
/// Guards against a heavy version that is late: followers get it from the store
/// too, and if they began only when their reader had it whole, two downloads of
/// 0.9 s on a link of 7.5 Mbit/s would follow each other in the two seconds
/// that a version has.
pub async fn announce_large_versions(shared: Rc<MeshShared>) {
    let mut begun = shared.store.response_lengths();
    while begun.changed().await.is_ok() {
        let length = usize::try_from(*begun.borrow_and_update()).unwrap_or(usize::MAX);
        let text = shared.versions.text().len();
        let usual = encoded_length(text) + AROUND_TEXT;
        if text > 0 && length > usual + encoded_length(MOST_TOLD) && shared.members.is_reader() {
            shared.send_to_followers(&LinkMessage::HeavyVersion);
        }
    }
}

/// Bytes of a value in the store's answer: four for each three.
fn encoded_length(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

/// Why no steps are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepsUnavailable {
    /// They are not remembered, or were never taken here.
    Unknown,
    /// They are too heavy for a link.
    TooLarge,
}

/// The version in force.
#[derive(Default)]
pub struct VersionState {
    index: RefCell<Rc<RouteIndex>>,
    text: RefCell<Bytes>,
    /// The text deflated; empty until somebody asks for it.
    deflated: RefCell<Bytes>,
    steps: RefCell<VecDeque<VersionStep>>,
    decoder: RefCell<ConfigDecoder>,
    /// Asks for the version from the store now.
    pub store_query_requested: Notify,
    /// The one ask of a peer for a whole text.
    pub full_text_slot: FullTextSlot,
    /// Whether the store gave no answer when it was last asked for the
    /// configuration.
    pub store_is_away: Cell<bool>,
}

impl VersionState {
    /// The version in force, compiled.
    #[must_use]
    pub fn index(&self) -> Rc<RouteIndex> {
        Rc::clone(&self.index.borrow())
    }

    /// Its number; 0 when there is none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.index.borrow().number()
    }

    /// Its text, as the operator wrote it.
    #[must_use]
    pub fn text(&self) -> Bytes {
        self.text.borrow().clone()
    }

    /// Its text, deflated. Worked out once for all that ask: plain, 1,200 routes
    /// are a quarter of a second of a link of 10 Mbit/s.
    pub fn deflated(&self) -> Bytes {
        let mut kept = self.deflated.borrow_mut();
        if kept.is_empty() {
            *kept = deflate::pack(&self.text.borrow()).into();
        }
        kept.clone()
    }

    /// The steps from version `have` to the one in force.
    ///
    /// # Errors
    /// [`StepsUnavailable`] when there are none to tell.
    pub fn steps_from(&self, have: u64) -> Result<Vec<VersionStep>, StepsUnavailable> {
        let steps = self.steps.borrow();
        let first = steps
            .iter()
            .position(|step| step.from == have)
            .ok_or(StepsUnavailable::Unknown)?;
        let told: Vec<VersionStep> = steps.iter().skip(first).cloned().collect();
        let weight: usize = told.iter().map(|step| step.delta.weight()).sum();
        if weight <= MOST_TOLD {
            Ok(told)
        } else {
            Err(StepsUnavailable::TooLarge)
        }
    }

    fn remember(&self, step: VersionStep) {
        let mut steps = self.steps.borrow_mut();
        steps.push_back(step);
        let mut bytes: usize = steps.iter().map(|step| step.delta.weight()).sum();
        while steps.len() > MOST_STEPS || bytes > MOST_BYTES {
            match steps.pop_front() {
                Some(oldest) => bytes -= oldest.delta.weight(),
                None => break,
            }
        }
    }
}

impl MeshShared {
    /// Puts a version in force if it is newer, and tells the peers.
    ///
    /// Guards against going back: versions come from the store and from every
    /// peer, in any order, and only a higher number is taken. A version that
    /// cannot be decoded whole is not used at all.
    pub fn apply_version(&self, text: &Bytes, from: &str) {
        let version = match self.versions.decoder.borrow_mut().decode(text) {
            Ok(version) => version,
            Err(error) => {
                log::error!("event=version_refused from={from} error=\"{error}\"");
                return;
            }
        };
        let book = &self.versions;
        let before = book.number();
        if version.number <= before {
            return;
        }
        let number = version.number;
        let routes = version.routes.len();
        if before > 0 {
            book.remember(VersionStep {
                from: before,
                to: number,
                delta: TextDelta::between(&book.text(), text),
            });
        }
        let index = Rc::new(RouteIndex::compile(version));
        *book.index.borrow_mut() = Rc::clone(&index);
        *book.text.borrow_mut() = text.clone();
        book.deflated.take();
        log::info!("event=version_in_force version={number:08x} before={before:08x} routes={routes} from={from}");
        self.organisations.version_in_force(&index);
        self.peers
            .broadcast(&encode(&LinkMessage::InForce { version: number }));
    }

    /// Puts a version whose text came deflated in force, if it is newer.
    pub fn apply_deflated_version(&self, deflated: &[u8], from: &str) {
        match deflate::unpack(deflated) {
            Ok(text) => self.apply_version(&text.into(), from),
            Err(error) => log::error!("event=version_refused from={from} error=\"{error}\""),
        }
    }

    /// Follows `steps` from the version in force; false when they do not lead
    /// on from it.
    pub fn apply_steps(&self, steps: &[VersionStep], from: &str) -> bool {
        let book = &self.versions;
        let mut text = book.text();
        let mut number = book.number();
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
        if number > book.number() {
            self.apply_version(&text, from);
        }
        book.number() >= number
    }
}
