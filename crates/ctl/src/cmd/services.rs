//! `filbertctl mesh services`: lists the load of services by availability zone.

use error_stack::Report;
use filbert_platform::store::StoreClient;

use super::mesh::{fetch_metrics, read_members, METRICS_PATH};
use crate::cli::OutputFormat;
use crate::error::CtlError;
use crate::services::{add_service_loads, ServiceLoads};
use crate::store::{to_json, CtlResult};

/// Lists the services that use most of their capacity in any zone.
///
/// # Errors
/// [`CtlError::Incomplete`], after the list, if a daemon does not answer.
pub(super) async fn list(
    store: &StoreClient,
    metrics_port: u16,
    output: OutputFormat,
) -> CtlResult<()> {
    let mut loads = ServiceLoads::default();
    let mut unreachable = Vec::new();
    for (host, metrics) in
        fetch_metrics(read_members(store).await?, metrics_port, METRICS_PATH).await?
    {
        match metrics {
            Some(text) => add_service_loads(&text, &mut loads),
            None => unreachable.push(host),
        }
    }
    if output == OutputFormat::Json {
        println!("{}", to_json(&loads)?);
    } else {
        print_table(&loads);
    }
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(Report::new(CtlError::Incomplete).attach(format!(
        "no metrics from the daemons on {}",
        unreachable.join(", ")
    )))
}

fn print_table(loads: &ServiceLoads) {
    println!(
        "{:<32} {:<16} {:>8} {:>8} {:>8} {:>6} {:>6}  sent to",
        "service", "zone", "targets", "capacity", "demand", "util", "slowdn"
    );
    for (service, zones) in loads {
        for (zone, load) in zones {
            let utilisation = load.slowdown.map_or("-".to_owned(), |_| {
                format!("{:.2}", load.demand / load.capacity)
            });
            let slowdown = load
                .slowdown
                .map_or("-".to_owned(), |slowdown| format!("{slowdown:.2}"));
            let sent: Vec<String> = load
                .sent_to
                .iter()
                .map(|(to, part)| format!("{to}:{part:.2}"))
                .collect();
            println!(
                "{service:<32} {zone:<16} {:>8} {:>8.1} {:>8.1} {utilisation:>6} {slowdown:>6}  {}",
                load.targets,
                load.capacity,
                load.demand,
                if sent.is_empty() {
                    "-".to_owned()
                } else {
                    sent.join(" ")
                }
            );
        }
    }
}
