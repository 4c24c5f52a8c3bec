//! Calls that wait at a target whose slots are held without an end.

use std::time::{Duration, Instant};

use filbert_policy::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, LinkTime, QueueLimits, WaitOutcome,
};
use filbert_policy::run_times::RunTime;

const SLOTS: u32 = 4;
const RUN: Duration = Duration::from_millis(16);
const SOFT_TIMEOUT: Duration = Duration::from_millis(600);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the slots have been held when the call arrives.
const HELD_BEFORE: Duration = Duration::from_millis(240);
const DISPATCH_INTERVAL: Duration = Duration::from_millis(25);

fn request(now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority: 1,
        soft_deadline: now + SOFT_TIMEOUT,
        deadline: now + TIMEOUT,
        run: RunTime {
            mean: RUN,
            mean_deviation: RUN / 4,
        },
        link: LinkTime::default(),
        organisation: None,
    }
}

/// Guards against a call that is refused only when hardly any of its time is left: four calls
/// held all slots, their age counted as the usual run time, and every other call as a short
/// one, which may wait for several runs.
#[test]
fn a_call_does_not_wait_for_slots_that_are_held() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(QueueLimits::default());
    queue.set_slots(SLOTS);
    queue.set_open(true);
    queue.set_usual_run(RUN);
    for _ in 0..SLOTS {
        let decision = queue.offer(request(start), RUN, start);
        assert_eq!(decision, AdmissionDecision::Run);
    }
    let arrival = start + HELD_BEFORE;
    let decision = queue.offer(request(arrival), HELD_BEFORE, arrival);
    assert!(
        matches!(decision, AdmissionDecision::Wait(_)),
        "{decision:?}"
    );
    let mut now = arrival;
    let declined = loop {
        now += DISPATCH_INTERVAL;
        let age = now - start;
        let outcomes = queue.dispatch(age, now);
        if let Some(WaitOutcome::Decline { .. }) = outcomes.first() {
            break now - arrival;
        }
        assert!(now < arrival + TIMEOUT, "never declined");
    };
    assert!(declined <= SOFT_TIMEOUT, "declined after {declined:?}");
}
