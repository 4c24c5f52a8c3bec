//! Control server: receives the reports of the local target.

use std::rc::Rc;

use filbert_http1::RequestHead;
use filbert_platform::instances::{self, InstanceCall};
use filbert_policy::instance::InstanceChange;
use tokio::net::TcpListener;

use crate::small_server::{accept_loop, serve_requests, SimpleResponse};
use crate::state::MeshShared;

/// Serves the target's requests on `listener` until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_loop("control", listener, |stream| {
        let shared = Rc::clone(&shared);
        serve_requests(stream, move |head, body| SimpleResponse {
            status: handle_call(&shared, head, body),
            content_type: "application/json",
            body: "{}".to_owned(),
        })
    })
    .await;
}

const BAD_REQUEST: u16 = 400;

/// Returns whether a report of `service` can come from the local target: the
/// service is this host's own or one of the current configuration.
///
/// A report by another program would be taken for a restart of the target, and
/// would close the gate to the live target for good.
fn is_known_service(shared: &MeshShared, service: &str) -> bool {
    shared.settings.borrow().service == service || shared.current_index().has_service(service)
}

/// Handles one request of the target. Returns the status code of the answer.
fn handle_call(shared: &Rc<MeshShared>, head: &RequestHead, body: &[u8]) -> u16 {
    match instances::decode_call(&head.method, &head.target, body) {
        InstanceCall::Report(report) => {
            if !is_known_service(shared, &report.service) {
                log::warn!(
                    "event=target_report_foreign instance={} service={}",
                    report.key,
                    report.service
                );
                return BAD_REQUEST;
            }
            let key = report.key.clone();
            let sequence = report.sequence;
            let change = shared.gate.report(report);
            if change != InstanceChange::None {
                log::info!(
                    "event=target_report instance={key} sequence={sequence} change={change:?}"
                );
            }
            200
        }
        InstanceCall::Leave { key } => {
            let change = shared.gate.leave(&key);
            log::info!("event=target_leaves instance={key} change={change:?}");
            200
        }
        InstanceCall::Unknown => 404,
        InstanceCall::Malformed => {
            log::warn!("event=target_report_malformed path={}", head.target);
            BAD_REQUEST
        }
    }
}
