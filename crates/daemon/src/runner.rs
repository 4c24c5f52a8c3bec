//! Runs the control loop: passes events to the reducer and executes its effects.

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
use crate::links::{run_link, KeepaliveSettings, PeerSenders};
use crate::messages::encode_frame;
use crate::platform_calls::PlatformCalls;
use crate::proxy::{AppliedConfig, ProxyShared};

/// Maximum number of frames that wait to be sent to a relay.
const RELAY_QUEUE_FRAMES: usize = 256;

/// Executes the effects that the reducer returns.
pub struct ControlRunner {
    /// Starts calls to the platform.
    pub calls: PlatformCalls,
    /// State of the proxy, which gets versions and targets.
    pub proxy: Arc<ProxyShared>,
    /// Status that the admin port returns. Replaced after each event.
    pub status: Arc<ArcSwap<StatusView>>,
    /// Send queues of the links to peers.
    pub peers: PeerSenders,
    /// Receives the events of links.
    pub events: mpsc::Sender<ControlEvent>,
    /// How links to relays are checked.
    pub keepalive: KeepaliveSettings,
    /// Clock that is read for each event.
    pub clock: Arc<dyn Clock>,
    /// Send queues of the links to relays, by link number. Removing one closes its link.
    pub relay_queues: HashMap<u64, mpsc::Sender<Bytes>>,
}

impl ControlRunner {
    /// Passes `events`, and a tick after each `tick_interval`, to `control`. Returns when
    /// all senders of events have been dropped.
    pub async fn run(
        mut self,
        mut control: ControlState,
        mut events: mpsc::Receiver<ControlEvent>,
        tick_interval: Duration,
    ) {
        let mut ticks = tokio::time::interval(tick_interval);
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
            ControlEffect::FetchVersion { number, object } => self.calls.fetch_full(number, object),
            ControlEffect::FetchDelta { number, pointer } => {
                self.calls.fetch_delta(number, pointer);
            }
            ControlEffect::ReadTargets => self.calls.read_targets(),
            ControlEffect::Apply { number, table } => {
                self.proxy
                    .config
                    .store(Arc::new(AppliedConfig { number, table }));
            }
            ControlEffect::PublishTargets { targets } => self.proxy.targets.store(targets),
            ControlEffect::WriteTarget { record } => self.calls.write_target(&record),
            ControlEffect::WriteStatus { status } => self.calls.write_status(&status),
            ControlEffect::WriteDigest { digest } => self.calls.write_digest(digest),
            ControlEffect::ReadLease => self.calls.read_lease(),
            ControlEffect::WriteLease { expect, record } => {
                self.calls.write_lease(expect, &record);
            }
            ControlEffect::Connect { link, address } => self.connect(link, address),
            ControlEffect::Disconnect { link } => {
                self.relay_queues.remove(&link);
            }
            ControlEffect::SendToRelay { link, message } => self.send(link, encode_frame(&message)),
            ControlEffect::SendToPeers { peers, message } => {
                let frame = encode_frame(&*message);
                for peer in peers {
                    self.peers.send(peer, frame.clone());
                }
            }
            ControlEffect::ClosePeer { peer } => self.peers.close(peer),
            ControlEffect::RecordStateChange { change } => self.record_state_change(&change),
        }
    }

    /// Opens link `link` in a task of its own.
    fn connect(&mut self, link: u64, address: String) {
        let (sender, queue) = mpsc::channel(RELAY_QUEUE_FRAMES);
        self.relay_queues.insert(link, sender);
        let events = self.events.clone();
        let keepalive = self.keepalive;
        let counters = Arc::clone(&self.proxy.counters);
        tokio::spawn(async move {
            let result = run_link(link, &address, queue, keepalive, &events, &counters).await;
            if let Err(error) = result {
                log::debug!("event=link_ended address={address} reason={error}");
            }
            let _ = events.send(ControlEvent::LinkDown { link }).await;
        });
    }

    /// Queues `frame` for the relay on link `link`.
    fn send(&mut self, link: u64, frame: Bytes) {
        // If the queue is full, the relay has stopped reading. Dropping the sender
        // closes the link, and the daemon looks for a relay again.
        let queued = self
            .relay_queues
            .get(&link)
            .is_some_and(|sender| sender.try_send(frame).is_ok());
        if !queued {
            self.relay_queues.remove(&link);
        }
    }

    /// Counts a change of state and logs it.
    fn record_state_change(&self, change: &StateChange) {
        let counters: &DaemonCounters = &self.proxy.counters;
        match change {
            StateChange::Applied { bytes, .. } => {
                counters.record_applied_version();
                counters.record_control_bytes(*bytes);
            }
            StateChange::Rejected { .. } => counters.record_rejected_version(),
            StateChange::PlatformLost { .. } => counters.record_platform_outage(),
            StateChange::LeaseTaken { .. } | StateChange::LeaseLost { .. } => {
                counters.record_lease_change();
            }
            _ => {}
        }
        log::info!("{change}");
    }
}
