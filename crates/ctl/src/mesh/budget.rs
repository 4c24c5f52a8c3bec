//! What a daemon holds for clients, and what it may hold, from its metrics.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::{metric_value, samples};

const BYTES_PER_MB: u64 = 1_000_000;
/// Label of the reason for which a connection was ended or a call refused.
const REASON_LABEL: &str = "reason=\"";

/// An amount and its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BudgetShare {
    /// What is in use.
    pub used: u64,
    /// What may be; 0 if the daemon does not say so.
    pub limit: u64,
}

impl BudgetShare {
    fn parse(text: &str, used: &str, limit: &str) -> BudgetShare {
        BudgetShare {
            used: metric_value(text, used).unwrap_or_default(),
            limit: metric_value(text, limit).unwrap_or_default(),
        }
    }

    /// The same in megabytes, rounded down.
    #[must_use]
    pub fn to_mb(self) -> BudgetShare {
        BudgetShare {
            used: self.used / BYTES_PER_MB,
            limit: self.limit / BYTES_PER_MB,
        }
    }
}

impl fmt::Display for BudgetShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&format!("{}/{}", self.used, self.limit))
    }
}

/// What one daemon holds for its clients, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClientBudget {
    /// Connections of clients.
    pub connections: BudgetShare,
    /// Memory of calls and answers of clients, in bytes.
    pub call_bytes: BudgetShare,
    /// Memory of answers that are read ahead of their clients, in bytes.
    pub answer_bytes: BudgetShare,
    /// Calls read ahead of the answer to an earlier one.
    pub calls_ahead: u64,
    /// Connections ended and calls refused to make room since the daemon's start, by reason.
    pub ended: BTreeMap<String, u64>,
}

impl ClientBudget {
    /// Parses metrics in the Prometheus text format; missing values become 0.
    #[must_use]
    pub fn parse(text: &str) -> ClientBudget {
        ClientBudget {
            connections: BudgetShare::parse(
                text,
                "filbert_clients_connections",
                "filbert_clients_max_connections",
            ),
            call_bytes: BudgetShare::parse(
                text,
                "filbert_clients_held_bytes",
                "filbert_clients_max_held_bytes",
            ),
            answer_bytes: BudgetShare::parse(
                text,
                "filbert_answer_buffer_held_bytes",
                "filbert_answer_buffer_max_held_bytes",
            ),
            calls_ahead: metric_value(text, "filbert_clients_calls_ahead").unwrap_or_default(),
            ended: samples(text, "filbert_clients_ended_total")
                .filter_map(reason_and_count)
                .collect(),
        }
    }

    /// Number of connections ended and calls refused since the daemon's start.
    #[must_use]
    pub fn ended_count(&self) -> u64 {
        self.ended.values().sum()
    }
}

fn reason_and_count(sample: &str) -> Option<(String, u64)> {
    let (_, labels) = sample.split_once(REASON_LABEL)?;
    let (reason, _) = labels.split_once('"')?;
    let count = sample.rsplit(' ').next()?.parse().ok()?;
    Some((reason.to_owned(), count))
}
