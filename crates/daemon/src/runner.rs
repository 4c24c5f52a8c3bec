//! Runs the reducer: feeds it events and carries out its effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::control::{ControlEffect, ControlEvent, ControlState, StateChange, StatusView};
use crate::counters::DaemonCounters;
use crate::links::{run_link, PeerSenders, PingTimes};
use crate::messages::encode_frame;
use crate::platform_calls::PlatformCalls;
use crate::proxy::{AppliedConfig, ProxyShared};

/// Messages that may wait on the link to the relay.
const UPLINK_QUEUE: usize = 256;

/// Carries out effects.
pub struct ControlRunner {
    /// Calls to the platform.
    pub calls: PlatformCalls,
    /// The proxy, which gets versions and targets.
    pub proxy: Arc<ProxyShared>,
    /// Where the status is published.
    pub status: Arc<ArcSwap<StatusView>>,
    /// Links to peers.
    pub peers: PeerSenders,
    /// Where events of links go.
    pub events: mpsc::Sender<ControlEvent>,
    /// When links are checked.
    pub pings: PingTimes,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Links to relays, by link number.
    pub uplinks: HashMap<u64, mpsc::Sender<Bytes>>,
}

impl ControlRunner {
    /// Runs `control` on `events`, with a tick every `tick`, until every
    /// sender of events is gone.
    pub async fn run(
        mut self,
        mut control: ControlState,
        mut events: mpsc::Receiver<ControlEvent>,
        tick: Duration,
    ) {
        let mut ticks = tokio::time::interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => ControlEvent::Tick,
                received = events.recv() => match received {
                    Some(event) => event,
                    None => return,
                },
            };
            for effect in control.step(self.clock.reading(), event) {
                self.execute(effect);
            }
            self.status.store(Arc::new(control.view()));
        }
    }

    fn execute(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::ReadCurrent => self.calls.read_current(),
            ControlEffect::FetchVersion { number, object } => self.calls.fetch(number, object),
            ControlEffect::FetchDelta { number, pointer } => {
                self.calls.fetch_delta(number, pointer);
            }
            ControlEffect::ReadTargets => self.calls.read_targets(),
            ControlEffect::Apply { number, table } => {
                self.proxy
                    .config
                    .store(Arc::new(AppliedConfig { number, table }));
            }
            ControlEffect::ShowTargets { targets } => self.proxy.targets.store(targets),
            ControlEffect::WriteTarget { record } => self.calls.write_target(&record),
            ControlEffect::Report { status } => self.calls.write_status(&status),
            ControlEffect::WriteDigest { digest } => self.calls.write_digest(digest),
            ControlEffect::ReadLease => self.calls.read_lease(),
            ControlEffect::WriteLease { expect, record } => {
                self.calls.write_lease(expect, &record);
            }
            ControlEffect::Connect { link, address } => self.connect(link, address),
            ControlEffect::Disconnect { link } => {
                self.uplinks.remove(&link);
            }
            ControlEffect::SendUp { link, message } => self.send_up(link, encode_frame(&message)),
            ControlEffect::SendPeers { peers, message } => {
                let frame = encode_frame(&*message);
                for peer in peers {
                    self.peers.send(peer, frame.clone());
                }
            }
            ControlEffect::DropPeer { peer } => self.peers.close(peer),
            ControlEffect::Note { change } => self.note(&change),
        }
    }

    fn connect(&mut self, link: u64, address: String) {
        let (sender, queue) = mpsc::channel(UPLINK_QUEUE);
        self.uplinks.insert(link, sender);
        let events = self.events.clone();
        let pings = self.pings;
        let counters = Arc::clone(&self.proxy.counters);
        tokio::spawn(async move {
            let ended = run_link(link, &address, queue, pings, &events, &counters).await;
            if let Err(error) = ended {
                log::debug!("event=link_ended address={address} reason={error}");
            }
            let _ = events.send(ControlEvent::LinkDown { link }).await;
        });
    }

    fn send_up(&mut self, link: u64, frame: Bytes) {
        // A relay that takes nothing for a whole queue is given up: dropping
        // the sender ends the link, and the daemon looks for a relay anew.
        let taken = self
            .uplinks
            .get(&link)
            .is_some_and(|sender| sender.try_send(frame).is_ok());
        if !taken {
            self.uplinks.remove(&link);
        }
    }

    fn note(&self, change: &StateChange) {
        let counters: &DaemonCounters = &self.proxy.counters;
        match change {
            StateChange::Applied { bytes, .. } => {
                counters.record_applied_version();
                counters.record_control_bytes(*bytes);
            }
            StateChange::Rejected { .. } => counters.record_rejected_version(),
            StateChange::PlatformLost { .. } => counters.record_platform_failure(),
            StateChange::LeaseTaken { .. } | StateChange::LeaseLost { .. } => {
                counters.record_lease_change();
            }
            _ => {}
        }
        log::info!("{change}");
    }
}
