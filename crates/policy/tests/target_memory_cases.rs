//! What daemons remember of targets on other hosts, and report after a restart.

use std::time::{Duration, Instant};

use filbert_policy::instance::{accepts_while_leaving, InstanceKey};
use filbert_policy::target_limit::CallRate;
use filbert_policy::target_memory::{ReportedLimits, TargetMemory};

fn instance(number: u64) -> InstanceKey {
    InstanceKey {
        id: format!("i-{number}"),
        born: None,
    }
}

fn rate(per_second: f64) -> CallRate {
    CallRate::new(per_second).expect("a rate")
}

/// Guards against a limit that is lost since another daemon still remembers the instance
/// before, and against a higher limit that replaces a lower one.
#[test]
fn the_lowest_limit_of_each_instance_is_kept() {
    let mut reported = ReportedLimits::default();
    reported.record(&instance(2), rate(3.3));
    reported.record(&instance(2), rate(9.0));
    reported.record(&instance(1), rate(1.0));
    assert_eq!(reported.of(&instance(2)), Some(rate(3.3)));
    assert_eq!(reported.of(&instance(3)), None);
}

/// Guards against a limit that outlasts its end or its instance.
#[test]
fn only_the_limit_of_the_last_instance_is_remembered() {
    let mut memory = TargetMemory::default();
    memory.record_limit(&instance(1), Some(rate(3.3)));
    memory.record_limit(&instance(2), Some(rate(9.0)));
    assert_eq!(memory.limit(), Some((instance(2), rate(9.0))));
    memory.record_limit(&instance(2), None);
    assert_eq!(memory.limit(), None);
}

/// Guards against a daemon that grows with each target that leaves, and against a later
/// answer that lengthens the time in which a leaving target gets calls.
#[test]
fn leaving_instances_are_bounded_and_keep_their_first_time() {
    let first = Instant::now();
    let mut memory = TargetMemory::default();
    for number in 0..100 {
        memory.record_leaving(&instance(number), first);
    }
    assert_eq!(memory.leaving_instances().len(), 8);
    let later = first + Duration::from_secs(1);
    memory.record_leaving(&instance(99), later);
    assert_eq!(memory.leaving_since(&instance(99)), Some(first));
    let drain_time = Duration::from_secs(2);
    assert!(accepts_while_leaving(first, drain_time, first));
    assert!(!accepts_while_leaving(first, drain_time, later));
}
