//! `filbertctl watch [VERSION]`: wait until every live proxy reports the
//! version in force, and say how long it took.

use std::time::{Duration, Instant};

use error_stack::Report;
use filbert_store::{DaemonStatus, PlatformClient};

use crate::error::CtlError;
use crate::fleet;
use crate::store::{self, CtlResult};

/// Pause between reads of the status rows.
const POLL: Duration = Duration::from_millis(50);

pub(super) async fn run(
    platform: &PlatformClient,
    version: Option<u64>,
    timeout: Duration,
) -> CtlResult<()> {
    let target = match version {
        Some(number) => number,
        None => store::in_force(platform).await?.number(),
    };
    let started = Instant::now();
    loop {
        let live = fleet::read(platform).await?.live;
        let behind: Vec<&DaemonStatus> = live
            .iter()
            .filter(|status| status.applied < target)
            .collect();
        if !live.is_empty() && behind.is_empty() {
            println!(
                "version {target} in force on all {} proxies after {} ms",
                live.len(),
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        if started.elapsed() > timeout {
            let names: Vec<String> = behind
                .iter()
                .map(|status| format!("{}/{} at {}", status.zone, status.id, status.applied))
                .collect();
            return Err(Report::new(CtlError::NotSettled).attach(format!(
                "version {target} not in force after {} s on: {}",
                timeout.as_secs(),
                names.join(", ")
            )));
        }
        tokio::time::sleep(POLL).await;
    }
}
