//! Hears the target beside the daemon, at the control address.

use std::rc::Rc;

use filbert_http1::RequestHead;
use filbert_platform::instances::{self, InstanceCall};
use filbert_policy::instance::InstanceChange;
use tokio::net::TcpListener;

use crate::small_server::{accept_for_ever, serve_requests, SmallAnswer};
use crate::state::MeshShared;

/// Takes reports until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_for_ever("control", listener, |stream| {
        let shared = Rc::clone(&shared);
        serve_requests(stream, move |head, body| SmallAnswer {
            status: take_call(&shared, head, body),
            content_type: "application/json",
            body: "{}".to_owned(),
        })
    })
    .await;
}

fn take_call(shared: &Rc<MeshShared>, head: &RequestHead, body: &[u8]) -> u16 {
    match instances::read_call(&head.method, &head.target, body) {
        InstanceCall::Report(report) => {
            let id = report.id.clone();
            let sequence = report.sequence;
            let change = shared.gate.report(report);
            if change != InstanceChange::None {
                log::info!(
                    "event=target_report instance={id} sequence={sequence} change={change:?}"
                );
            }
            200
        }
        InstanceCall::Leave { id } => {
            let change = shared.gate.leave(&id);
            log::info!("event=target_leaves instance={id} change={change:?}");
            200
        }
        InstanceCall::Unknown => 404,
        InstanceCall::Malformed => {
            log::warn!("event=target_report_malformed path={}", head.target);
            400
        }
    }
}
