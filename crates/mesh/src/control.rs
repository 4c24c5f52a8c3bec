//! Hears the target beside the daemon, at the control address.

use std::rc::Rc;
use std::time::Duration;

use filbert_http1::{BodyFraming, BodyPieces, MessageReader, RequestHead};
use filbert_platform::instances::{self, InstanceCall};
use filbert_policy::instance::InstanceChange;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::ready::{accept_for_ever, answer_bytes};
use crate::sockets;
use crate::state::MeshShared;

/// Longest head and body of a report, in bytes.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: u64 = 64 * 1024;
/// How long a connection of the target may be idle.
const IDLE: Duration = Duration::from_mins(1);

/// Takes reports until the process ends.
pub async fn serve(shared: Rc<MeshShared>, listener: TcpListener) {
    accept_for_ever("control", listener, |stream| {
        let shared = Rc::clone(&shared);
        async move {
            // Its end, clean or not, says nothing: the next report has its own.
            let _ = tokio::time::timeout(IDLE, serve_target(shared, stream)).await;
        }
    })
    .await;
}

async fn serve_target(shared: Rc<MeshShared>, stream: TcpStream) -> Result<(), ()> {
    sockets::watch_silence(&stream);
    let (read, mut write) = stream.into_split();
    let mut reader = MessageReader::new(read);
    while let Some(raw) = reader.read_head(MAX_HEAD).await.map_err(|_| ())? {
        let head = RequestHead::parse(&raw).map_err(|_| ())?;
        if head
            .framing
            .length()
            .is_some_and(|length| length > MAX_BODY)
        {
            return Err(());
        }
        let mut body = Vec::new();
        let mut decoder = BodyPieces::new(head.framing);
        while let Some(piece) = reader.read_piece(&mut decoder).await.map_err(|_| ())? {
            body.extend_from_slice(&piece);
            if body.len() as u64 > MAX_BODY {
                return Err(());
            }
        }
        let status = take_call(&shared, &head, &body);
        write
            .write_all(&answer_bytes(
                status,
                "application/json",
                "{}",
                head.keep_alive,
            ))
            .await
            .map_err(|_| ())?;
        if !head.keep_alive || head.framing == BodyFraming::UntilClose {
            break;
        }
    }
    Ok(())
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
