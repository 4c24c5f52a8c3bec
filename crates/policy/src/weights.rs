//! Distributes the calls of a route among its weighted services.

use std::collections::HashMap;

use crate::routing::{RoutePart, RouteRule};

/// Selects the service for each call of a route by smooth weighted round robin.
///
/// On a route with weights 90 and 10, random selection misses the configured
/// shares by several percentage points over a few hundred calls. Round robin
/// keeps each daemon within one call of the shares at any point of the round, and
/// so keeps the total of all daemons close to them.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    routes: HashMap<String, Vec<ServiceState>>,
}

#[derive(Debug)]
struct ServiceState {
    service: String,
    weight: i64,
    /// Grows by `weight` with each call, and drops by the sum of
    /// all weights when the service is selected.
    current_weight: i64,
}

impl WeightedRoundRobin {
    /// Selects the service that receives the next call of `route`.
    ///
    /// `start` is an arbitrary number that sets the position in the round at
    /// which a new route begins, so that daemons started together do not all
    /// begin with the same service.
    pub fn next_service<'a>(&mut self, route: &'a RouteRule, start: u64) -> &'a str {
        if let [only] = route.parts.as_slice() {
            return &only.service;
        }
        let states = self.routes.entry(route.name.clone()).or_default();
        if !has_weights_of(states, &route.parts) {
            *states = initial_states(&route.parts, start);
        }
        &route.parts[next_index(states)].service
    }
}

/// Returns the index of the service that receives the next call.
fn next_index(states: &mut [ServiceState]) -> usize {
    let total: i64 = states.iter().map(|state| state.weight).sum();
    let mut best = 0;
    for index in 0..states.len() {
        states[index].current_weight += states[index].weight;
        if states[index].current_weight > states[best].current_weight {
            best = index;
        }
    }
    states[best].current_weight -= total;
    best
}

fn has_weights_of(states: &[ServiceState], parts: &[RoutePart]) -> bool {
    states.len() == parts.len()
        && states.iter().zip(parts).all(|(state, part)| {
            state.service == part.service && state.weight == i64::from(part.weight)
        })
}

fn initial_states(parts: &[RoutePart], start: u64) -> Vec<ServiceState> {
    /// Upper limit of the calls skipped at the start: one whole round when the
    /// weights are percentages.
    const MAX_SKIPPED_CALLS: u64 = 100;
    let mut states: Vec<ServiceState> = parts
        .iter()
        .map(|part| ServiceState {
            service: part.service.clone(),
            weight: i64::from(part.weight),
            current_weight: 0,
        })
        .collect();
    for _ in 0..start % MAX_SKIPPED_CALLS {
        next_index(&mut states);
    }
    states
}
