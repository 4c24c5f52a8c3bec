//! The admin edge: targets announce themselves here, and operators read the
//! daemon's status and counters.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use filbert_store::TargetAnnouncement;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, routes, Route, State};
use tokio::sync::mpsc;

use crate::control::{ControlEvent, StatusView};
use crate::counters::DaemonCounters;

/// What the admin handlers share with the rest of the daemon.
pub struct AdminShared {
    /// Where control events go.
    pub events: mpsc::Sender<ControlEvent>,
    /// The status the control loop last published.
    pub status: Arc<ArcSwap<StatusView>>,
    /// Counters.
    pub counters: Arc<DaemonCounters>,
}

#[post("/announce", data = "<announcement>")]
async fn announce(shared: &State<AdminShared>, announcement: Json<TargetAnnouncement>) -> Status {
    let event = ControlEvent::TargetAnnounced {
        announcement: announcement.into_inner(),
    };
    match shared.events.send(event).await {
        Ok(()) => Status::Accepted,
        Err(_) => Status::ServiceUnavailable,
    }
}

#[get("/status")]
fn status(shared: &State<AdminShared>) -> Json<StatusView> {
    Json(StatusView::clone(&shared.status.load()))
}

#[get("/metrics")]
fn metrics(shared: &State<AdminShared>) -> Json<BTreeMap<String, u64>> {
    Json(shared.counters.snapshot())
}

/// The admin routes.
#[must_use]
pub fn routes() -> Vec<Route> {
    routes![announce, status, metrics]
}
