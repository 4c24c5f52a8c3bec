//! Cases of the budget for what a process holds for its clients.

use std::time::{Duration, Instant};

use filbert_policy::client_budget::eviction::{
    choose_for_memory, choose_for_room, choose_stalled, ConnectionUse,
};
use filbert_policy::client_budget::{
    call_bytes, slots_for_calls_ahead, CallSize, MachineSize, RefusalPause, ResourceLimits,
};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// A machine, and what its clients must be able to hold there.
struct MachineCase {
    memory_mib: u64,
    descriptors: u64,
    connections: usize,
}

#[test]
fn limits_follow_from_the_machine() {
    let cases = [
        // The smallest host of the users' deployments, the usual one, and the design size.
        MachineCase {
            memory_mib: 88,
            descriptors: 4_100,
            connections: 1_408,
        },
        MachineCase {
            memory_mib: 260,
            descriptors: 4_100,
            connections: 3_075,
        },
        MachineCase {
            memory_mib: 128,
            descriptors: 20_000,
            connections: 2_048,
        },
        MachineCase {
            memory_mib: 128,
            descriptors: 600,
            connections: 450,
        },
    ];
    for case in cases {
        let machine = MachineSize {
            memory_bytes: case.memory_mib * MIB,
            descriptors: case.descriptors,
        };
        let limits = ResourceLimits::new(machine, 16 * KIB);
        assert_eq!(limits.connections, case.connections);
        let connection_bytes = limits.connections as u64 * 16 * KIB;
        let most = limits.held_bytes + connection_bytes;
        assert!(most <= case.memory_mib * MIB / 2, "{} MiB", most / MIB);
    }
}

/// Limits of a process on a machine of the design size.
fn usual_limits() -> ResourceLimits {
    let machine = MachineSize {
        memory_bytes: 128 * MIB,
        descriptors: 4_100,
    };
    ResourceLimits::new(machine, 16 * KIB)
}

/// Guards against calls read ahead that multiply with the connections.
#[test]
fn a_crowd_reads_few_calls_ahead() {
    let limits = usual_limits();
    for (connections, head_bytes, body_bytes) in
        [(1_000, 200, 0), (200, 15_000, 0), (200, 200, 60_000)]
    {
        let call = call_bytes(head_bytes, body_bytes);
        let mut held = call * connections;
        let mut ahead = 0;
        while limits.allows_call_ahead(held, ahead) {
            held += call;
            ahead += 1;
        }
        assert!(held <= limits.held_bytes, "{connections}: {held} bytes");
    }
}

fn time_before(now: Instant, passed: Duration) -> Instant {
    now.checked_sub(passed).expect("a time")
}

/// One connection, and whether it is the one to end.
struct EvictionCase {
    name: &'static str,
    others: ConnectionUse,
    chosen: ConnectionUse,
}

fn active(held_bytes: u64, waits_since: Option<Instant>) -> ConnectionUse {
    ConnectionUse::Active {
        held_bytes,
        waits_since,
    }
}

/// Guards against a budget that turns the newcomer or the ordinary client away and leaves the
/// process to those who hold it.
#[test]
fn who_holds_most_and_progresses_least_ends_first() {
    let now = Instant::now();
    let before = |seconds| time_before(now, Duration::from_secs(seconds));
    let cases = [
        EvictionCase {
            name: "more is held",
            others: active(16 * KIB, None),
            chosen: active(300 * KIB, None),
        },
        EvictionCase {
            name: "its client does not read",
            others: active(300 * KIB, Some(before(1))),
            chosen: active(100 * KIB, Some(before(8))),
        },
        EvictionCase {
            name: "an idle one frees no memory",
            others: ConnectionUse::Idle { since: before(12) },
            chosen: active(16 * KIB, None),
        },
    ];
    for case in cases {
        let connections = [case.others, case.chosen, case.others];
        let chosen = choose_for_memory(connections.into_iter().enumerate(), &0, now);
        assert_eq!(chosen, Some(1), "{}", case.name);
    }
}

/// Guards against long bodies that end each other, so that none of them reaches its end.
#[test]
fn among_equals_the_one_that_asks_gives_way() {
    let now = Instant::now();
    for requester in 0..3 {
        let connections = [active(300 * KIB, None); 3];
        let chosen = choose_for_memory(connections.into_iter().enumerate(), &requester, now);
        assert_eq!(chosen, Some(requester));
    }
    let limits = usual_limits();
    let room = |size| limits.max_held_bytes(size) / MIB;
    assert_eq!((room(CallSize::Short), room(CallSize::Long)), (32, 24));
}

/// Guards against an answer that is cut though its client reads it.
#[test]
fn only_answers_that_stand_still_end() {
    let now = Instant::now();
    let before = |millis| time_before(now, Duration::from_millis(millis));
    let reading = active(900 * KIB, Some(before(200)));
    let unread = active(100 * KIB, Some(before(4_000)));
    let choose = |answers: [ConnectionUse; 3]| choose_stalled(answers.into_iter().enumerate(), now);
    assert_eq!(choose([reading; 3]), None);
    assert_eq!(choose([reading, unread, reading]), Some(1));
}

/// Guards against calls sent ahead that are refused and read again as fast as the processor
/// can, so that other clients find no place.
#[test]
fn refused_calls_that_were_sent_ahead_wait() {
    let after = |refusals| {
        let none = RefusalPause::default();
        (0..refusals).fold(none, |pause, _| pause.after(true))
    };
    let millis = |refusals| after(refusals).pause().as_millis();
    assert_eq!(
        [16, 17, 18, 19, 20, 21, 100].map(millis),
        [0, 100, 200, 400, 800, 1_600, 1_600]
    );
    // A connection of which one call in four is answered never pauses.
    let mut pause = RefusalPause::default();
    for call in 0..1_000 {
        pause = pause.after(call % 4 != 0);
        assert_eq!(pause.pause(), Duration::ZERO);
    }
}

/// Guards against a limit on connections that leaves them all to the clients that came first.
#[test]
fn connections_without_a_call_make_room_first() {
    let now = Instant::now();
    let before = |seconds| time_before(now, Duration::from_secs(seconds));
    let cases = [
        EvictionCase {
            name: "it never brought a call",
            others: ConnectionUse::Idle { since: before(12) },
            chosen: ConnectionUse::Unused { since: before(1) },
        },
        EvictionCase {
            name: "it is older",
            others: ConnectionUse::Unused { since: before(1) },
            chosen: ConnectionUse::Unused { since: before(2) },
        },
        EvictionCase {
            name: "it has been idle longer",
            others: ConnectionUse::Idle { since: before(3) },
            chosen: ConnectionUse::Idle { since: before(4) },
        },
        EvictionCase {
            name: "it has no call in progress",
            others: active(300 * KIB, Some(before(8))),
            chosen: ConnectionUse::Idle { since: before(0) },
        },
        EvictionCase {
            name: "the others may be about to send",
            others: ConnectionUse::Unused { since: before(0) },
            chosen: active(16 * KIB, None),
        },
        EvictionCase {
            name: "all have calls",
            others: active(16 * KIB, None),
            chosen: active(16 * KIB, Some(before(8))),
        },
    ];
    for case in cases {
        let connections = [case.others, case.chosen, case.chosen, case.chosen];
        let chosen = choose_for_room(connections.into_iter().enumerate(), now);
        assert_ne!(chosen, Some(0), "{}", case.name);
    }
    let new = ConnectionUse::Unused { since: before(0) };
    let connections = [active(300 * KIB, Some(before(8))), new, new, new];
    let chosen = choose_for_room(connections.into_iter().enumerate(), now);
    assert_ne!(chosen, Some(0), "clients that connect again and again");
}

/// Guards against clients that send ahead and hold all slots of a target, and against a target with
/// few slots that takes no such call.
#[test]
fn calls_sent_ahead_leave_a_slot() {
    for slots in 2..=1_000 {
        let ahead = slots_for_calls_ahead(slots);
        assert!((1..slots).contains(&ahead), "{ahead} of {slots}");
        assert!(ahead >= slots / 2, "{ahead} of {slots}");
    }
    assert_eq!(slots_for_calls_ahead(1), 1);
}
