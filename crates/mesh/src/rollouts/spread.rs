//! Passes notes on to all daemons, and counters to those that decide.

use std::rc::Rc;
use std::time::Duration;

use crate::messages::{encode, LinkMessage};
use crate::state::MeshShared;

use super::news::{RolloutNews, TargetTally};

/// Pause between two tallies of a gate. With the way over a reader, evidence is
/// at the deciders within twice this.
const TALLY_EVERY: Duration = Duration::from_millis(250);
/// Tallies in one message.
const MOST_TALLIES: usize = 64;

impl MeshShared {
    /// The roll-outs as a daemon that just linked is told.
    #[must_use]
    pub fn all_rollouts(&self) -> Option<LinkMessage> {
        self.rollout_news(&self.rollouts.services())
    }

    fn rollout_news(&self, services: &[String]) -> Option<LinkMessage> {
        let now = self.clock.now();
        let news: Vec<RolloutNews> = services
            .iter()
            .filter_map(|service| self.rollouts.entry(service))
            .map(|entry| RolloutNews {
                elapsed: now.saturating_duration_since(entry.ordered),
                confirmed: entry.confirmed,
                record: entry.record,
            })
            .collect();
        (!news.is_empty()).then_some(LinkMessage::Rollouts(news))
    }

    /// Takes what daemon `from` tells of roll-outs.
    pub fn hear_rollouts(&self, news: &[RolloutNews], from: &str) {
        for told in news {
            self.rollouts
                .merge(&told.record, told.elapsed, told.confirmed, from);
        }
    }

    /// Takes counters of other gates.
    pub fn hear_tallies(&self, tallies: Vec<TargetTally>) {
        let now = self.clock.now();
        for tally in tallies {
            self.rollouts.heard.take(tally, now);
        }
    }

    /// The counters of the gate here, while its service has a roll-out.
    fn own_tally(&self) -> Option<TargetTally> {
        let status = self.gate.status()?;
        if !self.rollouts.is_watching(&status.service) {
            return None;
        }
        let (sequence, kinds) = self.rollouts.own.read();
        let settings = self.settings.borrow();
        Some(TargetTally {
            host: settings.id.clone(),
            start: self.seed,
            sequence,
            zone: settings.zone.clone(),
            known: self.rollouts.known_step(&status.service),
            is_open: self.gate.is_open_without_rollouts(),
            at_work: self.gate.calls_in_progress(),
            software: status.software,
            service: status.service,
            kinds,
        })
    }

    /// Tells counters to the daemons that tell this one what lies in the store:
    /// readers pass them on to the sources.
    fn pass_tallies(&self) {
        let own = self.own_tally();
        if let Some(own) = own {
            self.hear_tallies(vec![own]);
        }
        let tallies = self.rollouts.heard.take_unpassed();
        if self.members.is_source() || tallies.is_empty() {
            return;
        }
        for upstream in self.linked_upstreams() {
            for part in tallies.chunks(MOST_TALLIES) {
                upstream.say(LinkMessage::Tallies(part.to_vec()));
            }
        }
    }
}

/// Passes on what changed, to all daemons linked either way. Runs for ever.
pub async fn keep_told(shared: Rc<MeshShared>) {
    loop {
        let services = shared.rollouts.next_untold().await;
        let Some(message) = shared.rollout_news(&services) else {
            continue;
        };
        shared.peers.broadcast(&encode(&message));
        for peer in shared.peers.all() {
            peer.say(message.clone());
        }
        // Canaries are linked to by all.
        shared.members.changed.notify_one();
    }
}

/// Shuts and opens the gate here as stages change. Runs for ever.
pub async fn keep_gate(shared: Rc<MeshShared>) {
    loop {
        shared.rollouts.stage_changed.notified().await;
        shared.gate.apply_rollout_change();
    }
}

/// Tells counters while roll-outs run. Runs for ever.
pub async fn keep_counted(shared: Rc<MeshShared>) {
    loop {
        shared.rollouts.until_live().await;
        while shared.rollouts.has_live() {
            tokio::time::sleep(TALLY_EVERY).await;
            shared.pass_tallies();
        }
        shared.rollouts.heard.clear();
    }
}
