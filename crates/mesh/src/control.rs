//! Control server: receives the reports of the local target.

use std::rc::Rc;

use filbert_http1::RequestHead;
use filbert_platform::instances::{self, InstanceCall};
use filbert_policy::instance::{InstanceChange, InstanceKey, InstanceReport};
use tokio::net::TcpListener;

use crate::shutdowns::recorder::ShutdownRecorder;
use crate::small_server::{accept_limited, serve_requests, SimpleResponse};
use crate::state::MeshShared;

/// Serves the target's requests on `listener` until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    let recorder = ShutdownRecorder::new(Rc::clone(&shared));
    accept_limited("control", &listener, |stream, usage| {
        let shared = Rc::clone(&shared);
        let recorder = Rc::clone(&recorder);
        serve_requests(stream, usage, async move |head, body| {
            let status = handle_call(&shared, &recorder, head, body).await;
            SimpleResponse {
                status,
                content_type: "application/json",
                body: response_body(status).to_owned(),
            }
        })
    })
    .await;
}

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const SERVICE_UNAVAILABLE: u16 = 503;

/// The body of a response with `status`. What exactly is wrong with a request is in the log.
fn response_body(status: u16) -> &'static str {
    match status {
        BAD_REQUEST => r#"{"error":"not a report of a target of this host"}"#,
        NOT_FOUND => r#"{"error":"no such path or method"}"#,
        SERVICE_UNAVAILABLE => r#"{"error":"not in the store yet"}"#,
        _ => "{}",
    }
}

/// Returns whether a report of `service` can come from the local target: the
/// service is this host's own or one of the current configuration.
///
/// A report by another program would be taken for a restart of the target, and
/// would close the gate to the live target for good.
fn is_known_service(shared: &MeshShared, service: &str) -> bool {
    shared.settings.borrow().service == service || shared.current_index().has_service(service)
}

/// Handles one request of the target. Returns the status code of the answer.
async fn handle_call(
    shared: &Rc<MeshShared>,
    recorder: &Rc<ShutdownRecorder>,
    head: &RequestHead,
    body: &[u8],
) -> u16 {
    match instances::decode_call(&head.method, &head.target, body) {
        InstanceCall::Report(report) => handle_report(shared, recorder, report).await,
        InstanceCall::Leave { key } => {
            let change = shared.gate.leave(&key);
            log::info!("event=target_leaves instance={key} change={change:?}");
            acknowledge_shutdown(shared, recorder, &key).await
        }
        InstanceCall::Unknown => NOT_FOUND,
        InstanceCall::Malformed => BAD_REQUEST,
    }
}

async fn handle_report(
    shared: &Rc<MeshShared>,
    recorder: &Rc<ShutdownRecorder>,
    report: InstanceReport,
) -> u16 {
    if !is_known_service(shared, &report.service) {
        log::warn!(
            "event=target_report_foreign instance={} service={:?}",
            report.key,
            report.service
        );
        return BAD_REQUEST;
    }
    let key = report.key.clone();
    let sequence = report.sequence;
    let is_draining = report.is_draining;
    let change = shared.gate.report(report);
    if change != InstanceChange::None {
        log::info!("event=target_report instance={key} sequence={sequence} change={change:?}");
    }
    if is_draining {
        acknowledge_shutdown(shared, recorder, &key).await
    } else {
        OK
    }
}

/// Acknowledges the shutdown of the instance that `key` names, as soon as it is in the
/// store. Without the store there is no acknowledgement, though the gate is closing: the
/// target announces its shutdown again, or waits before it ends.
async fn acknowledge_shutdown(
    shared: &MeshShared,
    recorder: &Rc<ShutdownRecorder>,
    key: &InstanceKey,
) -> u16 {
    // The notice may lack the start time that the reports state.
    let instance = shared.gate.reported_key(key);
    if recorder.record(&instance).await {
        OK
    } else {
        log::warn!("event=shutdown_unacknowledged instance={instance}");
        SERVICE_UNAVAILABLE
    }
}
