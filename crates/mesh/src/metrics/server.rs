//! Serves the metrics over HTTP.

use std::rc::Rc;

use tokio::net::TcpListener;

use super::clients::ClientFigures;
use super::target::TargetFigures;
use super::{DaemonFigures, ORGANISATIONS_PATH};
use crate::clients::ClientTable;
use crate::gate::Gate;
use crate::organisations::counts::CountsRange;
use crate::small_server::{accept_limited, serve_requests, SimpleResponse};
use crate::state::MeshShared;

/// Serves the metrics to every connection that `listener` accepts. Runs until the
/// process ends.
pub async fn serve(shared: Rc<MeshShared>, clients: Rc<ClientTable>, listener: TcpListener) {
    accept_limited("metrics", &listener, |stream, usage| {
        let shared = Rc::clone(&shared);
        let clients = Rc::clone(&clients);
        serve_requests(stream, usage, async move |head, _| SimpleResponse {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: match head.target.as_str() {
                ORGANISATIONS_PATH => shared.organisations.metrics_text(CountsRange::All),
                _ => render(&shared, &clients),
            },
        })
    })
    .await;
}

fn render(shared: &MeshShared, clients: &ClientTable) -> String {
    let zone = shared.settings.borrow().zone.clone();
    shared.metrics.render(&daemon_figures(shared, clients))
        + &shared.organisations.metrics_text(CountsRange::Busiest)
        + &shared.zone_load.metrics_text(&zone, shared.clock.now())
}

fn daemon_figures(shared: &MeshShared, clients: &ClientTable) -> DaemonFigures {
    DaemonFigures {
        clients: client_figures(shared, clients),
        version: shared.versions.number(),
        links: shared.peers.linked_count() as u64,
        peers: (shared.members.count() - 1) as u64,
        held_calls: shared.quarantine.held() as u64,
        target: target_figures(&shared.gate),
    }
}

fn client_figures(shared: &MeshShared, clients: &ClientTable) -> ClientFigures {
    let answer_buffer = &shared.gate.answer_buffer;
    ClientFigures {
        limits: clients.limits(),
        connections: clients.connection_count(),
        held_bytes: clients.held_bytes(),
        calls_ahead: clients.calls_ahead(),
        answer_bytes: answer_buffer.held_bytes(),
        max_answer_bytes: answer_buffer.max_held_bytes(),
    }
}

fn target_figures(gate: &Gate) -> Option<TargetFigures> {
    Some(TargetFigures {
        load: gate.status()?.load,
        call_limit: gate.call_limit(),
        pace_factor: gate.pace_factor(),
        is_leaving: gate.is_leaving(),
    })
}
