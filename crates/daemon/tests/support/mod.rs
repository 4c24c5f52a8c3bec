//! A simulated zone that runs several daemons' reducers against fakes: an
//! in-memory table with compare-and-set, outages and lost replies, and links
//! that can fail without closing. Time advances in steps and nothing runs
//! concurrently, so the same schedule of faults always gives the same history.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use filbert_daemon::clock::{Clock, ClockReading, SystemClock};
use filbert_daemon::control::{
    ControlEffect, ControlEvent, ControlSettings, ControlState, LeaseRow, PlatformStep,
    StateChange, ZoneRole,
};
use filbert_daemon::messages::{PeerMessage, RelayMessage};
use filbert_store::{LeaseRecord, WriteCondition};
use filbert_tree::{BranchPath, SettingsTree, VersionRecord};

const COOP: &str = include_str!("../../../../examples/coop.toml");
/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(100);
/// The PING timeout, in steps: a link whose PINGs stay unanswered for longer is closed.
const PING_TIMEOUT_STEPS: u64 = 20;

/// Faults and operator actions that a test can inject.
#[derive(Clone, Copy, Debug)]
pub enum ZoneFault {
    /// An operator accepts a new version.
    AcceptVersion,
    /// Kills a daemon and restarts it at once without any state.
    Restart { daemon: usize },
    /// Kills a daemon, which restarts without any state after `steps` and
    /// accepts no connections until then.
    Down { daemon: usize, steps: u64 },
    /// Freezes a daemon for `steps`.
    Freeze { daemon: usize, steps: u64 },
    /// Makes the platform fail every daemon's calls for `steps`.
    PlatformDown { steps: u64 },
    /// Delays the platform's answers by `delay_steps` from now on, so that they
    /// arrive after messages sent later on links.
    PlatformDelay { delay_steps: u64 },
    /// Cuts one daemon off from the platform for `steps`.
    PlatformUnreachable { daemon: usize, steps: u64 },
    /// Loses the replies to the next `count` lease writes, which take effect.
    LoseReplies { count: u32 },
    /// Drops all traffic on a daemon's open links to relays, PINGs included. Links
    /// opened later work.
    BlackholeLink { daemon: usize },
    /// Drops all messages on a daemon's open links to relays, while PINGs are
    /// still answered. Links opened later work.
    StallLink { daemon: usize },
}

/// A link between a daemon and a relay.
struct FakeLink {
    from: usize,
    to: usize,
    peer: u64,
    blackholed: bool,
    stalled: bool,
    unanswered_steps: u64,
}

impl FakeLink {
    /// Whether messages sent on the link arrive.
    fn delivers_messages(&self) -> bool {
        !self.blackholed && !self.stalled
    }
}

/// One daemon's reducer and the events on their way to it.
pub struct FakeDaemon {
    pub control: ControlState,
    incarnation: u64,
    /// Events on their way, with the step at which each arrives.
    inbox: VecDeque<(u64, ControlEvent)>,
    frozen_until: u64,
    down_until: u64,
    platform_unreachable_until: u64,
    /// The versions applied, in order, over all incarnations.
    pub applied: Vec<u64>,
}

impl FakeDaemon {
    /// Removes and returns the events that have arrived by `step`, in order.
    fn take_arrived(&mut self, step: u64) -> Vec<ControlEvent> {
        let inbox = std::mem::take(&mut self.inbox);
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            inbox.into_iter().partition(|(due, _)| *due <= step);
        self.inbox = waiting.into();
        arrived.into_iter().map(|(_, event)| event).collect()
    }
}

/// A zone of daemons that share a fake platform table.
pub struct FakeZone {
    pub daemons: Vec<FakeDaemon>,
    start: ClockReading,
    step: u64,
    lease: Option<LeaseRow>,
    pub current: u64,
    down_until: u64,
    lose_replies: u32,
    platform_delay: u64,
    links: BTreeMap<(usize, u64), FakeLink>,
    next_peer: u64,
    /// The daemons, with their incarnations, that took the lease under each token.
    pub lease_holders: BTreeMap<u64, BTreeSet<(usize, u64)>>,
    /// The number of platform reads and writes made, without lease writes whose reply
    /// was lost.
    pub platform_calls: u64,
}

fn address(daemon: usize) -> String {
    format!("10.0.0.{daemon}:7201")
}

pub fn version(number: u64) -> VersionRecord {
    let mut tree = SettingsTree::from_toml(COOP).expect("example parses");
    let timeout = (1_000 + number).to_string();
    tree.set(&BranchPath::Site, "timeout_ms", &timeout)
        .expect("an edit");
    VersionRecord {
        number,
        parent: number - 1,
        restores: None,
        parent_object: None,
        tree,
    }
}

impl FakeZone {
    pub fn new(size: usize) -> FakeZone {
        let start = SystemClock.reading();
        let mut zone = FakeZone {
            daemons: Vec::new(),
            start,
            step: 0,
            lease: None,
            current: 1,
            down_until: 0,
            lose_replies: 0,
            platform_delay: 0,
            links: BTreeMap::new(),
            next_peer: 1,
            lease_holders: BTreeMap::new(),
            platform_calls: 0,
        };
        for index in 0..size {
            let daemon = zone.new_daemon(index, index as u64 + 1);
            zone.daemons.push(daemon);
        }
        zone
    }

    fn new_daemon(&self, index: usize, incarnation: u64) -> FakeDaemon {
        let settings = ControlSettings::new(&format!("d{index}"), "zone-a", &address(index))
            .incarnation(incarnation);
        FakeDaemon {
            control: ControlState::new(settings, self.at()),
            incarnation,
            inbox: VecDeque::new(),
            frozen_until: 0,
            down_until: 0,
            platform_unreachable_until: 0,
            applied: Vec::new(),
        }
    }

    fn at(&self) -> ClockReading {
        let since = STEP * u32::try_from(self.step).expect("short runs");
        ClockReading {
            now: self.start.now + since,
            wall: self.start.wall + since,
        }
    }

    pub fn inject(&mut self, fault: ZoneFault) {
        match fault {
            ZoneFault::AcceptVersion => self.current += 1,
            ZoneFault::Restart { daemon } => self.restart(daemon),
            ZoneFault::Down { daemon, steps } => {
                self.restart(daemon);
                self.daemons[daemon].down_until = self.step + steps;
            }
            ZoneFault::Freeze { daemon, steps } => {
                self.daemons[daemon].frozen_until = self.step + steps;
            }
            ZoneFault::PlatformDown { steps } => self.down_until = self.step + steps,
            ZoneFault::PlatformDelay { delay_steps } => self.platform_delay = delay_steps,
            ZoneFault::PlatformUnreachable { daemon, steps } => {
                self.daemons[daemon].platform_unreachable_until = self.step + steps;
            }
            ZoneFault::LoseReplies { count } => self.lose_replies = count,
            ZoneFault::BlackholeLink { daemon } => {
                for link in self.links.values_mut().filter(|link| link.from == daemon) {
                    link.blackholed = true;
                }
            }
            ZoneFault::StallLink { daemon } => {
                for link in self.links.values_mut().filter(|link| link.from == daemon) {
                    link.stalled = true;
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let closed: Vec<(usize, u64)> = self
            .links
            .iter()
            .filter(|(_, link)| link.from == index || link.to == index)
            .map(|(key, _)| *key)
            .collect();
        for key in closed {
            self.close_link(key);
        }
        let incarnation = self.daemons[index].incarnation + 1_000;
        let applied = std::mem::take(&mut self.daemons[index].applied);
        self.daemons[index] = self.new_daemon(index, incarnation);
        self.daemons[index].applied = applied;
    }

    /// Closes a link and reports the closure to both sides.
    fn close_link(&mut self, key: (usize, u64)) {
        if let Some(link) = self.links.remove(&key) {
            let down = ControlEvent::LinkDown { link: key.1 };
            self.daemons[link.from].inbox.push_back((0, down));
            let gone = ControlEvent::PeerDisconnected { peer: link.peer };
            self.daemons[link.to].inbox.push_back((0, gone));
        }
    }

    /// Runs one step. Each daemon that is neither frozen nor down receives its
    /// arrived events and then a tick.
    pub fn run_step(&mut self) {
        self.step += 1;
        self.close_unanswered_links();
        for index in 0..self.daemons.len() {
            let daemon = &self.daemons[index];
            if daemon.frozen_until > self.step || daemon.down_until > self.step {
                continue;
            }
            let arrived = self.daemons[index].take_arrived(self.step);
            for event in arrived.into_iter().chain([ControlEvent::Tick]) {
                self.deliver(index, event);
            }
        }
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.run_step();
        }
    }

    /// Closes links whose PINGs have timed out, since the relay is frozen or the
    /// link drops all traffic.
    fn close_unanswered_links(&mut self) {
        let step = self.step;
        let mut closed = Vec::new();
        for (key, link) in &mut self.links {
            let unanswered = link.blackholed || self.daemons[link.to].frozen_until > step;
            link.unanswered_steps = if unanswered {
                link.unanswered_steps + 1
            } else {
                0
            };
            if link.unanswered_steps > PING_TIMEOUT_STEPS
                && self.daemons[link.from].frozen_until <= step
            {
                closed.push(*key);
            }
        }
        for key in closed {
            self.close_link(key);
        }
    }

    fn deliver(&mut self, index: usize, event: ControlEvent) {
        let at = self.at();
        for effect in self.daemons[index].control.step(at, event) {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::ReadCurrent => {
                let (number, object) = (self.current, "v".to_owned());
                let delta = None;
                let event = ControlEvent::CurrentRead {
                    number,
                    object,
                    delta,
                };
                self.answer_platform_call(index, PlatformStep::ReadCurrent, event);
            }
            ControlEffect::FetchVersion { number, .. } => {
                let record = Arc::new(version(number));
                let event = ControlEvent::VersionFetched { record, bytes: 1 };
                self.answer_platform_call(index, PlatformStep::FetchVersion, event);
            }
            ControlEffect::ReadLease => {
                let row = self.lease.clone();
                self.answer_platform_call(
                    index,
                    PlatformStep::Lease,
                    ControlEvent::LeaseRead { row },
                );
            }
            ControlEffect::WriteLease { expect, record } => self.write_lease(index, expect, record),
            ControlEffect::Connect { link, address } => self.connect(index, link, &address),
            ControlEffect::Disconnect { link } => self.close_link((index, link)),
            ControlEffect::SendToRelay { link, message } => self.send_up(index, link, message),
            ControlEffect::SendToPeers { peers, message } => {
                for peer in peers {
                    self.send_to_peer(index, peer, &message);
                }
            }
            ControlEffect::ClosePeer { peer } => {
                // The peer does not learn that a stalled link was closed either.
                let key = self.find_link(index, peer);
                if let Some(key) = key.filter(|key| !self.links[key].stalled) {
                    self.close_link(key);
                }
            }
            ControlEffect::Apply { number, .. } => self.daemons[index].applied.push(number),
            ControlEffect::RecordStateChange {
                change: StateChange::LeaseTaken { token },
            } => {
                let incarnation = self.daemons[index].incarnation;
                self.lease_holders
                    .entry(token)
                    .or_default()
                    .insert((index, incarnation));
            }
            _ => {}
        }
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.down_until <= self.step && self.daemons[index].platform_unreachable_until <= self.step
    }

    fn answer_platform_call(&mut self, index: usize, step: PlatformStep, event: ControlEvent) {
        self.platform_calls += 1;
        let event = if self.reaches_platform(index) {
            event
        } else {
            ControlEvent::PlatformFailed { step }
        };
        let due = self.step + self.platform_delay;
        self.daemons[index].inbox.push_back((due, event));
    }

    fn write_lease(&mut self, index: usize, expect: WriteCondition, record: LeaseRecord) {
        let step = PlatformStep::Lease;
        if !self.reaches_platform(index) {
            self.answer_platform_call(index, step, ControlEvent::Tick);
            return;
        }
        let version = self.lease.as_ref().map(|row| row.version);
        let condition_met = match (expect, version) {
            (WriteCondition::Any, _) | (WriteCondition::Absent, None) => true,
            (WriteCondition::Version(expected), Some(version)) => expected == version,
            _ => false,
        };
        if !condition_met {
            let row = self.lease.clone();
            self.answer_platform_call(index, step, ControlEvent::LeaseWriteRefused { row });
            return;
        }
        let row = LeaseRow {
            version: version.unwrap_or(0) + 1,
            record,
        };
        self.lease = Some(row.clone());
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            let failed = ControlEvent::PlatformFailed { step };
            self.daemons[index].inbox.push_back((0, failed));
        } else {
            self.answer_platform_call(index, step, ControlEvent::LeaseWritten { row });
        }
    }

    fn connect(&mut self, from: usize, link: u64, relay: &str) {
        let to = (0..self.daemons.len())
            .find(|index| address(*index) == relay)
            .expect("an address of this zone");
        if self.daemons[to].down_until > self.step {
            let down = ControlEvent::LinkDown { link };
            self.daemons[from].inbox.push_back((0, down));
            return;
        }
        let peer = self.next_peer;
        self.next_peer += 1;
        let opened = FakeLink {
            from,
            to,
            peer,
            blackholed: false,
            stalled: false,
            unanswered_steps: 0,
        };
        self.links.insert((from, link), opened);
    }

    fn send_up(&mut self, index: usize, link: u64, message: PeerMessage) {
        let open = self.links.get(&(index, link));
        if let Some(open) = open.filter(|link| link.delivers_messages()) {
            let event = ControlEvent::PeerMessageReceived {
                peer: open.peer,
                message,
            };
            self.daemons[open.to].inbox.push_back((0, event));
        }
    }

    fn find_link(&self, relay: usize, peer: u64) -> Option<(usize, u64)> {
        self.links
            .iter()
            .find(|(_, link)| link.to == relay && link.peer == peer)
            .map(|(key, _)| *key)
    }

    fn send_to_peer(&mut self, index: usize, peer: u64, message: &RelayMessage) {
        let Some(key) = self.find_link(index, peer) else {
            return;
        };
        let open = &self.links[&key];
        if open.delivers_messages() {
            let event = ControlEvent::RelayMessageReceived {
                link: key.1,
                message: message.clone(),
            };
            self.daemons[open.from].inbox.push_back((0, event));
        }
    }

    /// The daemons that consider themselves the leader and are neither frozen nor down.
    pub fn leaders(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|index| self.daemons[*index].frozen_until <= self.step)
            .filter(|index| self.daemons[*index].down_until <= self.step)
            .filter(|index| self.daemons[*index].control.role() == ZoneRole::Leader)
            .collect()
    }

    /// The daemons that are not down, with their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &FakeDaemon)> {
        let running = |(_, daemon): &(usize, &FakeDaemon)| daemon.down_until <= self.step;
        self.daemons.iter().enumerate().filter(running)
    }

    pub fn roles(&self) -> Vec<ZoneRole> {
        self.daemons
            .iter()
            .map(|daemon| daemon.control.role())
            .collect()
    }
}
