//! Endpoint for the platform's readiness checks.

use std::rc::Rc;

use filbert_platform::READINESS_PATH;
use tokio::net::TcpListener;

use crate::small_server::{accept_limited, serve_requests, SimpleResponse};
use crate::state::MeshShared;

/// Answers readiness checks on `listener`. Runs until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_limited("ready", &listener, |stream, usage| {
        let shared = Rc::clone(&shared);
        serve_requests(stream, usage, async move |head, _| {
            SimpleResponse::status(if head.target.starts_with(READINESS_PATH) {
                readiness_status(&shared)
            } else {
                404
            })
        })
    })
    .await;
}

/// Returns the HTTP status of a readiness check: 200 if the daemon can serve callers and
/// no stop is in progress, otherwise 503.
fn readiness_status(shared: &MeshShared) -> u16 {
    if shared.stop.is_stopping() {
        shared.stop.record_failed_check(shared.clock.now());
        return 503;
    }
    if shared.is_serving() {
        200
    } else {
        503
    }
}
