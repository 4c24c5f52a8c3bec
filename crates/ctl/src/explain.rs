//! Reconstructs what happened to one call from the logs of the daemons that handled it.

use std::collections::BTreeMap;
use std::fmt;

/// One parsed line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The daemon that wrote the line: the last word in front of `ts=` if there is
    /// one, otherwise the name of the log file.
    pub source: String,
    /// Timestamp (`ts=`) as written. Timestamps sort as text.
    pub time: String,
    /// Values of the line's `key=value` pairs, by key.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line of `file`. Log collectors put columns of their own in front of
    /// `ts=`; the last of them is taken as the source. Returns `None` if the line has
    /// no `ts=` or no `event=`, as a daemon did not write it.
    #[must_use]
    pub fn parse(line: &str, file: &str) -> Option<LogLine> {
        let start = line.find("ts=")?;
        let prefix = line[..start].split_whitespace().last();
        let fields = parse_fields(&line[start..]);
        fields.get("event")?;
        Some(LogLine {
            source: prefix.unwrap_or(file).to_owned(),
            time: fields.get("ts").cloned().unwrap_or_default(),
            fields,
        })
    }

    fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("-", String::as_str)
    }

    /// Returns the identity of the call that the line is about.
    fn call(&self) -> Option<&str> {
        self.fields.get("call").map(String::as_str)
    }

    /// Describes the event of the line in a sentence.
    #[must_use]
    pub fn describe(&self) -> String {
        let get = |key| self.get(key);
        match get("event") {
            "attempt_ended" => format!(
                "tried {} ({}): {}; {}. Load known at that time: {} of {} slots busy, average run time {} ms, failure rate {}; {} candidate targets",
                get("host"),
                if get("in_zone") == "true" { "own zone" } else { "another zone" },
                describe_attempt_end(get("end")),
                describe_next_step(get("next")),
                get("occupancy"),
                get("slots"),
                get("run_ms"),
                get("ill_share"),
                get("candidates"),
            ),
            "gate_declined" => format!(
                "declined in front of the target ({}) after {} ms: {} running and {} waiting for {} slots, average run time {} ms, soft deadline in {} ms; room expected in {} ms{}{}",
                get("reason"),
                get("waited_ms"),
                get("running"),
                get("waiting"),
                get("slots"),
                get("run_ms"),
                get("aim_ms"),
                get("room_in_ms"),
                describe_limit(get("limit")),
                describe_share(get("reason"), get("ahead_ms"), get("weight")),
            ),
            "gate_ran" => format!(
                "dispatched to instance {} after waiting {} ms: {} after {} ms ({})",
                get("instance"),
                get("waited_ms"),
                get("verdict"),
                get("ran_ms"),
                get("reason"),
            ),
            "gate_held_back" => format!(
                "refused in front of the target: the call is held back for another {} ms",
                get("left_ms"),
            ),
            "call_ended" => format!(
                "{}, status {}, after {} ms (soft deadline {} ms), reason {}{}; route {} to service {} in version {}, {} attempts, {} of them declined{}{}",
                describe_outcome(get("outcome")),
                get("status"),
                get("took_ms"),
                get("aim_ms"),
                get("reason"),
                describe_quota_refusal(get("quota")),
                get("route"),
                get("service"),
                get("version"),
                get("attempts"),
                get("declines"),
                match get("software") {
                    "" | "-" => String::new(),
                    software => format!("; last attempt at a target with software version {software}"),
                },
                match get("come_back_ms") {
                    "0" | "-" => String::new(),
                    after => format!("; asked to retry after {after} ms"),
                },
            ),
            _ => self.describe_state_change(),
        }
    }

    /// Describes an event that changes a daemon's state; returns the name of an event
    /// that has no description.
    fn describe_state_change(&self) -> String {
        let get = |key| self.get(key);
        match get("event") {
            "call_suspected" => format!(
                "{} in a row crashed while running call {} (source: {})",
                format_target_count(get("strikes")),
                get("call"),
                get("from"),
            ),
            "call_held" => format!(
                "call {} is held back from now on: three targets crashed while running it (source: {})",
                get("call"),
                get("from"),
            ),
            "call_tried" => format!("call {} runs once as a probe", get("call")),
            "call_cleared" => format!(
                "call {} is cleared: a target ran it successfully, or an operator released it (source: {})",
                get("call"),
                get("from"),
            ),
            "rollout_stage" => format!(
                "roll-out of {} to {}: {} ({}), decided by {}, source {}",
                get("service"),
                get("to"),
                get("stage"),
                get("reason"),
                get("decided_by"),
                get("from"),
            ),
            other => other.to_owned(),
        }
    }
}

/// Formats a number of targets.
fn format_target_count(count: &str) -> String {
    match count {
        "1" => "one target".to_owned(),
        count => format!("{count} targets"),
    }
}

/// Describes why a call was passed over; empty if it was declined for another reason.
fn describe_share(reason: &str, ahead_ms: &str, weight: &str) -> String {
    if reason != "BeyondShare" {
        return String::new();
    }
    format!(
        "; passed over for calls of other organisations: its own is {ahead_ms} ms of run time ahead of its share (weight {weight})"
    )
}

/// Describes a target's limit on the rate of calls; empty if it has none, or if the line
/// does not tell.
fn describe_limit(limit: &str) -> String {
    match limit {
        "" | "-" | "none" => String::new(),
        limit => format!("; the target accepts {limit} calls per second"),
    }
}

/// Describes why a call got no token; empty if it was not refused for that.
fn describe_quota_refusal(refusal: &str) -> &str {
    match refusal {
        "limit_reached" => " (no token was expected in time)",
        "late" => " (tokens went to calls that could still be in time)",
        "no_token" => " (it waited, and no token came in time)",
        _ => "",
    }
}

/// Describes the end of an attempt: an `AttemptEnd`, as `end=` names it.
fn describe_attempt_end(end: &str) -> &str {
    match end {
        "HeldBack" => "refused in front of the target, because the call is held back",
        "Declined" => "declined before it reached the target",
        "Rejected" => "rejected by the target, which did not run it",
        "Lost" => "sent, but no complete answer arrived",
        "AnsweredFailure" => "answered by the target with a failure status",
        other => other,
    }
}

/// Describes what followed an attempt: a `NextStep`, as `next=` names it.
fn describe_next_step(next: &str) -> &str {
    match next {
        "SendAgain" => "sent to another target",
        "SayNotRun" => "refused, as the call did not run",
        "SayUnknown" => "ended with an unknown outcome, as the call may have run",
        "PassOn" => "the answer was forwarded",
        other => other,
    }
}

/// Describes the outcome of a call, as `outcome=` names it.
fn describe_outcome(outcome: &str) -> &str {
    match outcome {
        "answered" => "answered",
        "target_failed" => "answered with the target's own failure",
        "refused" => "refused without having run",
        "unknown" => "ended with an unknown outcome",
        "timed_out" => "ended by the route's timeout",
        "no_route" => "no route matches",
        other => other,
    }
}

/// Parses text of the form `key=value key="quoted value"`.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.trim().to_owned(), value.to_owned());
        rest = next.trim_start();
    }
    fields
}

/// What the logs tell about one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTrace {
    /// Lines about the call, in order of time.
    pub lines: Vec<LogLine>,
    /// The last state changes before the call's last line, in order of time, on
    /// the daemons that logged the call.
    pub state_changes: Vec<LogLine>,
    /// Number of notable lines that these daemons suppressed under load, as reported
    /// by their `lines_held_back` events.
    pub suppressed_lines: u64,
}

/// Events that change the state from which a daemon decides, and so may explain what
/// happened to a call.
const STATE_CHANGE_EVENTS: [&str; 13] = [
    "target_pace",
    "version_in_force",
    "target_report",
    "target_leaves",
    "target_heard",
    "link_down",
    "rollout_stage",
    "link_up",
    "link_silent",
    "store_lost",
    "store_regained",
    "stop_ordered",
    "started",
];
/// Maximum number of state changes shown. The newest are kept, as they explain most.
const MAX_STATE_CHANGES: usize = 12;

/// Collects the lines about the request with id `id`, or about all requests of the
/// call with identity `id`. Returns `None` if there are none.
#[must_use]
pub fn trace_call(id: &str, lines: &[LogLine]) -> Option<CallTrace> {
    let requests = lines.iter().filter(|line| line.get("request") == id);
    let calls: Vec<&str> = requests.filter_map(|line| line.call()).collect();
    let is_about_call = |line: &&LogLine| {
        // Lines about a call's quarantine state carry no request id.
        let has_no_request = !line.fields.contains_key("request");
        let is_same_call = line.call().is_some_and(|call| calls.contains(&call));
        line.get("request") == id || line.call() == Some(id) || (has_no_request && is_same_call)
    };
    let mut call_lines: Vec<LogLine> = lines.iter().filter(is_about_call).cloned().collect();
    call_lines.sort_by(|left, right| left.time.cmp(&right.time));
    let last = call_lines.last()?.time.clone();
    let sources: Vec<&str> = call_lines.iter().map(|line| line.source.as_str()).collect();
    let is_from_sources = |line: &&LogLine| sources.contains(&line.source.as_str());
    let mut state_changes: Vec<LogLine> = lines
        .iter()
        .filter(is_from_sources)
        .filter(|line| STATE_CHANGE_EVENTS.contains(&line.get("event")) && line.time <= last)
        .cloned()
        .collect();
    state_changes.sort_by(|left, right| left.time.cmp(&right.time));
    let state_changes =
        state_changes.split_off(state_changes.len().saturating_sub(MAX_STATE_CHANGES));
    let suppressed_lines = lines
        .iter()
        .filter(is_from_sources)
        .filter(|line| line.get("event") == "lines_held_back")
        .filter_map(|line| line.get("notable").parse::<u64>().ok())
        .sum();
    Some(CallTrace {
        lines: call_lines,
        state_changes,
        suppressed_lines,
    })
}

impl fmt::Display for CallTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(
                formatter,
                "{} {}: {}",
                line.time,
                line.source,
                line.describe()
            )?;
        }
        if !self.state_changes.is_empty() {
            writeln!(formatter, "\nstate changes on these daemons before:")?;
        }
        for line in &self.state_changes {
            let details: Vec<String> = line
                .fields
                .iter()
                .filter(|(key, _)| !matches!(key.as_str(), "ts" | "level" | "event"))
                .map(|(key, value)| format!("{key}={value}"))
                .collect();
            writeln!(
                formatter,
                "{} {}: {} {}",
                line.time,
                line.source,
                line.get("event"),
                details.join(" ")
            )?;
        }
        if self.suppressed_lines > 0 {
            writeln!(
                formatter,
                "\nthese daemons suppressed {} lines about calls under load; some may be about this call",
                self.suppressed_lines
            )?;
        }
        Ok(())
    }
}
