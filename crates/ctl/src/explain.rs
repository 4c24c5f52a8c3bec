//! What became of one call, told from the logs of the daemons it crossed.

use std::collections::BTreeMap;
use std::fmt;

/// One line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The daemon: the file it came from, or what stood before the line.
    pub source: String,
    /// Its time as written; sorts as text.
    pub time: String,
    /// Every `key=value` of the line.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line. What stands before `ts=` (a collector's own columns) is
    /// kept as its source; lines without `ts=` and `event=` are none of ours.
    #[must_use]
    pub fn parse(line: &str, file: &str) -> Option<LogLine> {
        let start = line.find("ts=")?;
        let prefix = line[..start].split_whitespace().last();
        let fields = fields_of(&line[start..]);
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

    /// The identity of the call that it is about.
    fn call(&self) -> Option<&str> {
        self.fields.get("call").map(String::as_str)
    }

    /// What the line says, in a sentence.
    #[must_use]
    pub fn sentence(&self) -> String {
        let get = |key| self.get(key);
        match get("event") {
            "attempt_ended" => format!(
                "tried {} ({}): {}; {}. It then looked {} of {} slots busy, runs took {} ms, {} of its runs ended ill; {} targets to choose from",
                get("host"),
                if get("in_zone") == "true" { "own zone" } else { "another zone" },
                ending(get("end")),
                following(get("next")),
                get("occupancy"),
                get("slots"),
                get("run_ms"),
                get("ill_share"),
                get("candidates"),
            ),
            "gate_declined" => format!(
                "turned away in front of the target ({}) after {} ms: {} running and {} waiting for {} slots, runs take {} ms, {} ms to its aim; room expected in {} ms",
                get("reason"),
                get("waited_ms"),
                get("running"),
                get("waiting"),
                get("slots"),
                get("run_ms"),
                get("aim_ms"),
                get("room_in_ms"),
            ),
            "gate_ran" => format!(
                "at instance {} after waiting {} ms: {} after {} ms ({})",
                get("instance"),
                get("waited_ms"),
                get("verdict"),
                get("ran_ms"),
                get("reason"),
            ),
            "gate_held_back" => format!(
                "refused in front of the target: the call is held back for {} ms more",
                get("left_ms"),
            ),
            "call_ended" => format!(
                "{} with status {} after {} ms (aim {} ms), reason {}; route {} to service {} in version {}, {} attempts, {} of them declined{}{}",
                outcome(get("outcome")),
                get("status"),
                get("took_ms"),
                get("aim_ms"),
                get("reason"),
                get("route"),
                get("service"),
                get("version"),
                get("attempts"),
                get("declines"),
                match get("software") {
                    "" | "-" => String::new(),
                    software => format!("; last tried at a target of software {software}"),
                },
                match get("come_back_ms") {
                    "0" | "-" => String::new(),
                    after => format!("; told to come back after {after} ms"),
                },
            ),
            _ => self.belief(),
        }
    }

    /// What the line says of what a daemon came to believe, in words.
    fn belief(&self) -> String {
        let get = |key| self.get(key);
        match get("event") {
            "call_suspected" => format!(
                "{} in a row ended under call {} (heard from: {})",
                targets(get("strikes")),
                get("call"),
                get("from"),
            ),
            "call_held" => format!(
                "call {} is held back from now on: three targets ended under it (heard from: {})",
                get("call"),
                get("from"),
            ),
            "call_tried" => format!("call {} is tried once", get("call")),
            "call_cleared" => format!(
                "call {} is cleared: a target ran it well (heard from: {})",
                get("call"),
                get("from"),
            ),
            "rollout_stage" => format!(
                "roll-out of {} to {}: {} ({}), decided by {}, heard from {}",
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

fn targets(count: &str) -> String {
    match count {
        "1" => "one target".to_owned(),
        count => format!("{count} targets"),
    }
}

fn ending(end: &str) -> &str {
    match end {
        "HeldBack" => "refused in front of the target, as it is held back",
        "Declined" => "declined before the target saw it",
        "Rejected" => "the target said that it did not run it",
        "Lost" => "sent, but no whole answer came",
        "AnsweredFailure" => "the target ran it and failed",
        other => other,
    }
}

fn following(next: &str) -> &str {
    match next {
        "SendAgain" => "sent to another target",
        "SayNotRun" => "refused, as it has not run",
        "SayUnknown" => "ended as unknown, as it may have run",
        "PassOn" => "the answer was passed on",
        other => other,
    }
}

fn outcome(outcome: &str) -> &str {
    match outcome {
        "answered" => "answered",
        "target_failed" => "answered with the target's own failure",
        "refused" => "refused, certainly not run",
        "unknown" => "ended as unknown",
        "timed_out" => "ended at the route's timeout",
        "no_route" => "no route matches",
        other => other,
    }
}

/// Splits `key=value key="quoted value"`.
fn fields_of(text: &str) -> BTreeMap<String, String> {
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

/// The story of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallStory {
    /// The lines on it, in order of time.
    pub lines: Vec<LogLine>,
    /// Changes of belief shortly before its last line, on the daemons that it
    /// crossed.
    pub context: Vec<LogLine>,
    /// Lines that those daemons left out, as far as they say so.
    pub left_out: u64,
}

/// Events that change what a daemon believes, which may explain a call.
const BELIEFS: [&str; 12] = [
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
/// Changes of belief shown: the newest tell most.
const MOST_CONTEXT: usize = 12;

/// Gathers what `lines` say of the try with request id `id`, or of all tries of
/// the call with that identity; `None` when nothing does.
#[must_use]
pub fn story_of(id: &str, lines: &[LogLine]) -> Option<CallStory> {
    let tries = lines.iter().filter(|line| line.get("request") == id);
    let calls: Vec<&str> = tries.filter_map(|line| line.call()).collect();
    let is_own = |line: &&LogLine| {
        // What daemons came to believe of the call names no try of it.
        let is_belief = !line.fields.contains_key("request");
        let is_of_call = line.call().is_some_and(|call| calls.contains(&call));
        line.get("request") == id || line.call() == Some(id) || (is_belief && is_of_call)
    };
    let mut own: Vec<LogLine> = lines.iter().filter(is_own).cloned().collect();
    own.sort_by(|one, other| one.time.cmp(&other.time));
    let last = own.last()?.time.clone();
    let crossed: Vec<&str> = own.iter().map(|line| line.source.as_str()).collect();
    let here = |line: &&LogLine| crossed.contains(&line.source.as_str());
    let mut context: Vec<LogLine> = lines
        .iter()
        .filter(here)
        .filter(|line| BELIEFS.contains(&line.get("event")) && line.time <= last)
        .cloned()
        .collect();
    context.sort_by(|one, other| one.time.cmp(&other.time));
    let context = context.split_off(context.len().saturating_sub(MOST_CONTEXT));
    let left_out = lines
        .iter()
        .filter(here)
        .filter(|line| line.get("event") == "lines_held_back")
        .filter_map(|line| line.get("notable").parse::<u64>().ok())
        .sum();
    Some(CallStory {
        lines: own,
        context,
        left_out,
    })
}

impl fmt::Display for CallStory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(
                formatter,
                "{} {}: {}",
                line.time,
                line.source,
                line.sentence()
            )?;
        }
        if !self.context.is_empty() {
            writeln!(
                formatter,
                "\nwhat these daemons had come to believe before:"
            )?;
        }
        for line in &self.context {
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
        if self.left_out > 0 {
            writeln!(
                formatter,
                "\nthese daemons held back {} lines on calls under load; some may be of this one",
                self.left_out
            )?;
        }
        Ok(())
    }
}
