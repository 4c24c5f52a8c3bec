//! Retry times that this daemon told to refused calls of organisations, and those of
//! calls for which a service has no capacity.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use filbert_policy::decaying_rate::DecayingRate;
use filbert_policy::identity::CallIdentity;
use filbert_policy::refusal::retry_after_no_room;
use filbert_policy::return_schedule::ReturnSchedule;
use filbert_policy::told_times::{RetryTiming, ToldTime, ToldTimes};

/// Number of services above which those whose retry times have all passed are dropped.
const MAX_IDLE_SERVICES: usize = 256;

/// Retries at one service.
#[derive(Default)]
struct ServiceReturns {
    schedule: ReturnSchedule,
    /// Calls of this daemon that the service accepted.
    accepted: DecayingRate,
}

/// Retry times of refused calls that belong to an organisation.
#[derive(Default)]
pub struct ReturnTimes {
    told: RefCell<ToldTimes>,
    services: RefCell<HashMap<String, ServiceReturns>>,
}

impl ReturnTimes {
    /// Returns when a call arrives compared with the time that it was told.
    #[must_use]
    pub fn timing(&self, call: CallIdentity, now: Instant) -> RetryTiming {
        self.told.borrow().timing(call, now)
    }

    /// Returns the time that is left until the retry of a call that came too early.
    #[must_use]
    pub fn remaining(&self, call: CallIdentity, now: Instant) -> Option<Duration> {
        self.told.borrow().remaining(call, now)
    }

    /// Returns the soft deadline of an earlier try of the same call, which its caller
    /// gives up at `deadline`.
    #[must_use]
    pub fn soft_deadline(
        &self,
        call: CallIdentity,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        self.told.borrow().soft_deadline(call, deadline, now)
    }

    /// Remembers what was told to a refused call.
    pub fn record_told(&self, call: CallIdentity, told: ToldTime, now: Instant) {
        self.told.borrow_mut().record(call, told, now);
    }

    /// Counts a call that a target of `service` accepted.
    pub fn record_accepted(&self, service: &str, now: Instant) {
        self.with_service(service, now, |returns| returns.accepted.record(1, now));
    }

    /// Returns the time after which a call should retry for which the targets of
    /// `service` expect capacity in `room_in`.
    pub fn retry_after_no_room(
        &self,
        service: &str,
        room_in: Duration,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        self.with_service(service, now, |returns| {
            let accepted_per_s = returns.accepted.per_s(now);
            let schedule = &mut returns.schedule;
            retry_after_no_room(schedule, accepted_per_s, room_in, time_left, now)
        })
    }

    fn with_service<T>(
        &self,
        service: &str,
        now: Instant,
        update: impl FnOnce(&mut ServiceReturns) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if let Some(returns) = services.get_mut(service) {
            return update(returns);
        }
        if services.len() >= MAX_IDLE_SERVICES {
            services.retain(|_, returns| !returns.schedule.is_idle(now));
        }
        update(services.entry(service.to_owned()).or_default())
    }
}
