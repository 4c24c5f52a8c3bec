//! Which part of a split route a call goes to.

use std::collections::HashMap;

use crate::routing::{RoutePart, RouteRule};

/// Deals each route's calls to its parts by smooth weighted round robin.
///
/// Load pattern: a route split 90 to 10. Random draws miss the shares by
/// several points over a few hundred calls; dealing in turn keeps each daemon
/// within one call of them at any moment, and so their sum too.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    routes: HashMap<String, Vec<DealtPart>>,
}

#[derive(Debug)]
struct DealtPart {
    service: String,
    weight: i64,
    credit: i64,
}

impl WeightedRoundRobin {
    /// The service that takes the next call of `route`. `start` (any number)
    /// sets where in its round a fresh dealer begins, so that daemons started
    /// together do not all begin with the same part.
    pub fn next_service<'a>(&mut self, route: &'a RouteRule, start: u64) -> &'a str {
        if let [only] = route.parts.as_slice() {
            return &only.service;
        }
        let dealt = self.routes.entry(route.name.clone()).or_default();
        if !matches_parts(dealt, &route.parts) {
            *dealt = fresh_parts(&route.parts, start);
        }
        &route.parts[next_part(dealt)].service
    }
}

/// Deals one call.
fn next_part(dealt: &mut [DealtPart]) -> usize {
    let total: i64 = dealt.iter().map(|part| part.weight).sum();
    let mut best = 0;
    for index in 0..dealt.len() {
        dealt[index].credit += dealt[index].weight;
        if dealt[index].credit > dealt[best].credit {
            best = index;
        }
    }
    dealt[best].credit -= total;
    best
}

fn matches_parts(dealt: &[DealtPart], parts: &[RoutePart]) -> bool {
    dealt.len() == parts.len()
        && dealt.iter().zip(parts).all(|(dealt, part)| {
            dealt.service == part.service && dealt.weight == i64::from(part.weight)
        })
}

fn fresh_parts(parts: &[RoutePart], start: u64) -> Vec<DealtPart> {
    /// Calls that a fresh dealer skips at most: a whole round of percentages.
    const MOST_SKIPPED: u64 = 100;
    let mut dealt: Vec<DealtPart> = parts
        .iter()
        .map(|part| DealtPart {
            service: part.service.clone(),
            weight: i64::from(part.weight),
            credit: 0,
        })
        .collect();
    for _ in 0..start % MOST_SKIPPED {
        next_part(&mut dealt);
    }
    dealt
}
