//! `filbertctl watch [VERSION]`: waits until every live daemon has applied a version,
//! and prints how long that took.

use std::time::{Duration, Instant};

use error_stack::Report;
use filbert_store::{DaemonStatus, PlatformClient};

use crate::error::CtlError;
use crate::fleet;
use crate::store::{self, CtlResult};

/// Interval between reads of the status rows.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn run(
    platform: &PlatformClient,
    version: Option<u64>,
    timeout: Duration,
) -> CtlResult<()> {
    let version = match version {
        Some(number) => number,
        None => store::read_current(platform).await?.number(),
    };
    let started = Instant::now();
    loop {
        let live = fleet::read(platform).await?.live;
        let behind: Vec<&DaemonStatus> = live
            .iter()
            .filter(|status| status.applied < version)
            .collect();
        if !live.is_empty() && behind.is_empty() {
            println!(
                "version {version} is in force on all {} daemons after {} ms",
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
            return Err(Report::new(CtlError::Incomplete).attach(format!(
                "version {version} is not in force after {} s on: {}",
                timeout.as_secs(),
                names.join(", ")
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
