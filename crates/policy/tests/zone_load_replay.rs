//! Simulated loads of one service in three availability zones, whose demand, capacity
//! and links change.

// The counts of a simulation are small, so no conversion loses digits.
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

#[path = "support/zones.rs"]
mod zones;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbert_policy::numbers::count_to_f64;
use filbert_policy::zone_load::shares::{ZoneLoad, ZoneShares};
use filbert_policy::zone_load::sums::{remove_unusable, ServiceLoad, ZoneSum, ZoneSums};
use rstest::rstest;
use zones::{play, Pattern, Replay, TICK_S, ZONES};

const SECONDS: f64 = 34.0;
/// Time of the step in the patterns that have one, in seconds.
const STEP_S: f64 = 12.0;
/// Tolerance of a part: two standard deviations of a demand of 62 slots that is measured
/// for a second.
const PART_TOLERANCE: f64 = 0.12;
/// Number of simulations of each case.
const SEEDS: u64 = 5;

/// Slots that the calls of a zone need, at a peak of its own every 17 s.
fn peaks(zone: usize, at: f64) -> f64 {
    let phase = (at - 1.4 * count_to_f64(zone)) / 17.0;
    53.0 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin())
}

/// All callers of zone 0 move to zone 1 within a second.
fn moving(zone: usize, at: f64) -> f64 {
    let moved = (at - STEP_S).clamp(0.0, 1.0);
    [95.0 - 75.0 * moved, 20.0 + 75.0 * moved, 45.0][zone]
}

fn steady(_: usize, _: f64) -> f64 {
    62.0
}

/// The same with peaks beyond the capacity of all zones together.
fn high_peaks(zone: usize, at: f64) -> f64 {
    1.2 * peaks(zone, at)
}

fn uneven(zone: usize, _: f64) -> f64 {
    [50.0, 50.0, 75.0][zone]
}

fn two_thirds(zone: usize, _: f64) -> f64 {
    [99.0, 99.0, 66.0][zone]
}

fn all_equal(_: usize, _: f64) -> f64 {
    88.0
}

fn half_lost(zone: usize, at: f64) -> f64 {
    [88.0, 88.0, if at < STEP_S { 88.0 } else { 44.0 }][zone]
}

fn two_of_three(zone: usize, _: f64) -> f64 {
    [132.0, 132.0, 0.0][zone]
}

fn pattern(demand: fn(usize, f64) -> f64, capacity: fn(usize, f64) -> f64) -> Pattern {
    Pattern {
        seconds: SECONDS,
        demand,
        capacity,
        is_linked: |_, _| true,
        is_shared: true,
    }
}

/// Calls that cross zones if each part is right at once.
fn least_crossing(pattern: &Pattern) -> f64 {
    let ticks = (pattern.seconds / TICK_S) as usize;
    let slots_of = |at: f64| {
        let loads =
            (0..ZONES).map(|zone| ((pattern.demand)(zone, at), (pattern.capacity)(zone, at)));
        let loads: Vec<(f64, f64)> = loads.collect();
        let demand: f64 = loads.iter().map(|(demand, _)| demand).sum();
        let capacity: f64 = loads.iter().map(|(_, capacity)| capacity).sum();
        let utilisation = (demand / capacity).max(0.75);
        let excess = loads
            .iter()
            .map(|(demand, capacity)| demand - utilisation * capacity);
        excess.map(|slots| slots.max(0.0)).sum::<f64>()
    };
    let slots: f64 = (0..ticks)
        .map(|tick| slots_of(count_to_f64(tick) * TICK_S))
        .sum();
    slots * TICK_S / zones::RUN_S
}

/// Difference between the best and the worst zone in the share of calls in time.
fn spread(replay: &Replay) -> f64 {
    let shares = replay.zones.map(|zone| zone.in_time / zone.calls);
    shares.iter().copied().fold(0.0, f64::max) - shares.iter().copied().fold(1.0, f64::min)
}

/// Guards against calls that wait in one zone while another has free slots, against more
/// calls between zones than this needs, and against two zones that exchange calls.
#[rstest]
#[case::shifted_peaks(pattern(peaks, two_thirds))]
#[case::shifted_peaks_under_shortage(pattern(high_peaks, two_thirds))]
#[case::moving_callers(pattern(moving, all_equal))]
#[case::half_of_the_targets_lost(pattern(steady, half_lost))]
#[case::targets_in_two_of_three_zones(pattern(steady, two_of_three))]
fn zones_answer_alike_with_the_fewest_calls_between_them(#[case] pattern: Pattern) {
    for seed in 0..SEEDS {
        let replay = play(&pattern, seed);
        let least = least_crossing(&pattern);
        let crossing = replay.crossing / least;
        assert!(spread(&replay) <= 0.02, "seed {seed}: {}", spread(&replay));
        assert!(crossing <= 1.1, "seed {seed}: {crossing}");
        assert_eq!(replay.mutual, 0, "seed {seed}");
    }
}

/// Guards against replays of loads that need no parts.
#[rstest]
#[case::shifted_peaks(pattern(peaks, two_thirds))]
#[case::shifted_peaks_under_shortage(pattern(high_peaks, two_thirds))]
#[case::moving_callers(pattern(moving, all_equal))]
#[case::half_of_the_targets_lost(pattern(steady, half_lost))]
fn zones_differ_without_parts(#[case] pattern: Pattern) {
    let alone = Pattern {
        is_shared: false,
        ..pattern
    };
    for seed in 0..SEEDS {
        assert!(spread(&play(&alone, seed)) > 0.02, "seed {seed}");
    }
}

/// Guards against parts that follow a lasting change late.
#[rstest]
#[case::moving_callers(pattern(moving, all_equal), STEP_S + 1.0)]
#[case::half_of_the_targets_lost(pattern(steady, half_lost), STEP_S)]
fn parts_settle_within_a_second(#[case] pattern: Pattern, #[case] changed_at: f64) {
    for seed in 0..SEEDS {
        let replay = play(&pattern, seed);
        let loads = |at: f64| -> BTreeMap<String, ZoneLoad> {
            let load = |zone: usize| ZoneLoad {
                demand: (pattern.demand)(zone, at),
                capacity: (pattern.capacity)(zone, at),
                open_targets: 8,
                ..ZoneLoad::default()
            };
            (0..ZONES)
                .map(|zone| (zones::name(zone), load(zone)))
                .collect()
        };
        let wanted = ZoneShares::of(&loads(SECONDS));
        for (at, shares) in replay
            .history
            .iter()
            .filter(|(at, _)| *at >= changed_at + 1.0)
        {
            for (zone, shares) in shares.iter().enumerate() {
                let off = shares.max_change(&wanted, &zones::name(zone));
                assert!(
                    off <= PART_TOLERANCE,
                    "seed {seed}: zone {zone} is off by {off} at {at}"
                );
            }
        }
    }
}

/// Guards against parts that swing although the load does not change.
#[rstest]
#[case::uneven(pattern(uneven, all_equal))]
#[case::two_of_three(pattern(steady, two_of_three))]
#[case::few_targets(pattern(|zone, _| [18.0, 12.0, 12.0][zone], |_, _| 22.0))]
#[case::near_the_start(pattern(|_, _| 66.0, all_equal))]
fn parts_stay_over_a_steady_load(#[case] pattern: Pattern) {
    for seed in 0..SEEDS {
        let replay = play(&pattern, seed);
        let mut largest = 0.0_f64;
        for pair in replay.history.windows(2).filter(|pair| pair[0].0 > 3.0) {
            for (zone, (before, after)) in pair[0].1.iter().zip(&pair[1].1).enumerate() {
                largest = largest.max(before.max_change(after, &zones::name(zone)));
            }
        }
        assert!(largest < 0.05, "seed {seed}: a part changes by {largest}");
    }
}

/// Guards against calls that are sent to a zone that cannot be reached, and against a
/// zone that is cut off and still counts on others.
#[test]
fn a_zone_that_is_cut_off_neither_sends_nor_receives() {
    let cut_off = Pattern {
        is_linked: |zone, at| zone != 2 || !(10.0..20.0).contains(&at),
        ..pattern(uneven, all_equal)
    };
    let replay = play(&cut_off, 1);
    let name = zones::name(2);
    for (at, shares) in &replay.history {
        let exchanges = shares.iter().enumerate().any(|(zone, shares)| {
            let receives = shares.part(&zones::name(zone), &name) > 0.0;
            receives || zone == 2 && shares.sends(&name)
        });
        if (12.2..20.0).contains(at) {
            assert!(!exchanges, "at {at}: {shares:?}");
        } else if (5.0..10.0).contains(at) || *at > 21.5 {
            assert!(exchanges, "at {at}: {shares:?}");
        }
    }
}

/// Guards against one bad figure that spoils the sum of a zone, or takes other services
/// with it.
#[rstest]
#[case::not_a_number("quotes", f64::NAN)]
#[case::infinite("quotes", f64::INFINITY)]
#[case::negative("quotes", -1.0)]
#[case::absurd("quotes", 1e300)]
#[case::long_name(&"q".repeat(1_000), 1.0)]
fn a_bad_load_is_removed_alone(#[case] service: &str, #[case] capacity: f64) {
    let load = |service: &str, capacity: f64| ServiceLoad {
        service: service.to_owned(),
        is_pressed: true,
        is_complete: true,
        load: ZoneLoad {
            capacity,
            ..ZoneLoad::default()
        },
    };
    let mut loads = vec![load(service, capacity), load("art", 4.0)];
    assert!(remove_unusable(&mut loads).is_some());
    assert_eq!(loads, [load("art", 4.0)]);
    assert_eq!(remove_unusable(&mut loads), None);
}

/// Guards against parts that change with each sum, as two readers of a zone differ, and
/// against a zone that counts as absent when one of them dies.
#[test]
fn one_reader_is_used_until_it_dies() {
    let start = Instant::now() + Duration::from_secs(10);
    let mut sums = ZoneSums::default();
    for half_second in 0..8_u32 {
        let now = start + Duration::from_millis(500) * half_second;
        for (reader, demand) in [("first", 10.0), ("second", 20.0)] {
            if reader == "first" && half_second >= 4 {
                continue;
            }
            let load = ZoneLoad {
                demand,
                ..ZoneLoad::default()
            };
            let sum = ZoneSum {
                zone: zones::name(0),
                reader: reader.to_owned(),
                sequence: (1, u64::from(half_second)),
                age: Duration::ZERO,
                loads: vec![ServiceLoad {
                    service: "quotes".to_owned(),
                    is_pressed: true,
                    is_complete: true,
                    load,
                }],
            };
            assert!(sums.record(sum, now));
            let (loads, _) = sums.loads_of("quotes", now);
            let used = loads[&zones::name(0)].demand;
            let expected = if half_second < 6 { 10.0 } else { 20.0 };
            assert!((used - expected).abs() < 0.1, "{used} at {half_second}");
        }
    }
}
