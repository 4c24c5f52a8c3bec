//! HTTP routes of the admin port. Targets announce themselves on it, and operators
//! read the daemon's status and counters.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use filbert_store::{check_target_address, shortened, TargetAnnouncement};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, routes, Route, State};
use tokio::sync::mpsc;

use crate::control::{ControlEvent, StatusView};
use crate::counters::DaemonCounters;

/// State that the admin handlers share with the rest of the daemon.
pub struct AdminState {
    /// Sends events to the control loop.
    pub events: mpsc::Sender<ControlEvent>,
    /// Status that the control loop published last.
    pub status: Arc<ArcSwap<StatusView>>,
    /// Counters that `/metrics` returns.
    pub counters: Arc<DaemonCounters>,
}

/// Takes the announcement of a target. Refuses one with an address to which no call can be
/// sent, with a line that says why.
#[post("/announce", data = "<announcement>")]
async fn announce(
    state: &State<AdminState>,
    announcement: Json<TargetAnnouncement>,
) -> (Status, String) {
    let announcement = announcement.into_inner();
    if let Err(fault) = check_target_address(&announcement.address) {
        let shown = shortened(&announcement.address);
        let text = format!("field `address`: \"{shown}\" cannot be used: {fault}\n");
        return (Status::UnprocessableEntity, text);
    }
    let event = ControlEvent::TargetAnnounced { announcement };
    let status = match state.events.send(event).await {
        Ok(()) => Status::Accepted,
        Err(_) => Status::ServiceUnavailable,
    };
    (status, String::new())
}

#[get("/status")]
fn status(state: &State<AdminState>) -> Json<StatusView> {
    Json(StatusView::clone(&state.status.load()))
}

#[get("/metrics")]
fn metrics(state: &State<AdminState>) -> Json<BTreeMap<String, u64>> {
    Json(state.counters.snapshot())
}

/// Returns the routes `/announce`, `/status` and `/metrics`.
#[must_use]
pub fn routes() -> Vec<Route> {
    routes![announce, status, metrics]
}
