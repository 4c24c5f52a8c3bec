//! Tests of `filbertctl` with a daemon whose answer has no end.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The most that the program may take of an answer, with what the kernel holds.
const MAX_TAKEN_BYTES: usize = 24 * 1024 * 1024;

/// Sends an answer without end, and counts its bytes.
fn send_without_end(mut stream: TcpStream, sent_bytes: &AtomicUsize) {
    const PART_BYTES: usize = 100_000;
    let part = vec![b' '; PART_BYTES];
    let _ = stream.read(&mut [0; 4_096]);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
    while stream.write_all(&part).is_ok() {
        sent_bytes.fetch_add(part.len(), Ordering::Relaxed);
    }
}

/// Guards against an answer that takes the memory of the machine on which the operator works.
#[test]
fn an_answer_without_end_is_not_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent_bytes);
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        send_without_end(stream, &counter);
    });
    let out = std::env::temp_dir().join(format!("filbert-endless-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_filbertctl"))
        .args(["report", "sample", "--daemon", &format!("http://{address}")])
        .arg("--out")
        .arg(&out)
        .output()
        .expect("filbertctl runs");
    let _ = std::fs::remove_file(&out);
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("cannot read the counters"), "{message}");
    let taken = sent_bytes.load(Ordering::Relaxed);
    assert!(taken <= MAX_TAKEN_BYTES, "{taken} bytes");
}
