//! Both directions of a client's connection, with a record of when the daemon waits for the
//! client.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use filbert_http1::{BodyDecoder, MessageReader, ReadError};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

use crate::clients::ConnectionAccount;

/// Reads calls.
pub(super) struct ClientReader {
    messages: MessageReader<OwnedReadHalf>,
    account: Rc<ConnectionAccount>,
}

impl ClientReader {
    pub(super) fn new(half: OwnedReadHalf, account: Rc<ConnectionAccount>) -> ClientReader {
        ClientReader {
            messages: MessageReader::new(half),
            account,
        }
    }

    /// What the connection holds.
    pub(super) fn account(&self) -> &Rc<ConnectionAccount> {
        &self.account
    }

    /// The connection.
    pub(super) fn stream(&mut self) -> &TcpStream {
        let half: &OwnedReadHalf = self.messages.stream();
        half.as_ref()
    }

    /// Whether bytes of a call have been read that was not taken yet.
    pub(super) fn has_buffered_bytes(&self) -> bool {
        self.messages.has_buffered_bytes()
    }

    /// Waits for input, without a buffer, and reads it. Cancel safe.
    pub(super) async fn fill_when_readable(&mut self) -> Result<bool, ReadError> {
        self.messages.release_buffer();
        self.stream().readable().await?;
        self.messages.fill().await
    }

    /// Reads the next head.
    pub(super) async fn read_head(&mut self, limit: usize) -> Result<Option<Bytes>, ReadError> {
        self.account.set_reading(true);
        let head = self.messages.read_head(limit).await;
        self.account.set_reading(false);
        head
    }

    /// Reads the next bytes of a body.
    pub(super) async fn read_body_data(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        self.account.set_reading(true);
        let data = self.messages.read_body_data(decoder).await;
        self.account.set_reading(false);
        data
    }

    /// Discards input until the client closes the connection or it fails.
    pub(super) async fn discard_input(&mut self) {
        loop {
            self.messages.discard_buffered();
            if !matches!(self.fill_when_readable().await, Ok(true)) {
                return;
            }
        }
    }
}

/// Why the half of a [`ClientWriter`] is there.
const HALF_IS_THERE: &str = "it is taken only when the writer is dropped";

/// Writes answers.
pub(super) struct ClientWriter {
    /// `None` only while it is dropped.
    half: Option<OwnedWriteHalf>,
    /// Number of bytes written of the answer in progress; `None` between two answers.
    unfinished_bytes: Option<u64>,
    account: Rc<ConnectionAccount>,
}

impl ClientWriter {
    pub(super) fn new(half: OwnedWriteHalf, account: Rc<ConnectionAccount>) -> ClientWriter {
        ClientWriter {
            half: Some(half),
            unfinished_bytes: None,
            account,
        }
    }

    pub(super) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.account.set_writing(true);
        let written = self.write_counted(bytes).await;
        self.account.set_writing(false);
        written
    }

    fn half_mut(&mut self) -> &mut OwnedWriteHalf {
        self.half.as_mut().expect(HALF_IS_THERE)
    }

    /// Writes `bytes` and counts each part that is written: the rest may be given up.
    async fn write_counted(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.half_mut().write(bytes).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            if let Some(unfinished) = &mut self.unfinished_bytes {
                *unfinished += written as u64;
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Records that an answer begins.
    pub(super) fn begin_answer(&mut self) {
        self.unfinished_bytes = Some(0);
    }

    /// Records that the answer has been written to its end.
    pub(super) fn finish_answer(&mut self) {
        self.unfinished_bytes = None;
    }

    /// Number of bytes written of the answer in progress; `None` between two answers.
    pub(super) fn unfinished_bytes(&self) -> Option<u64> {
        self.unfinished_bytes
    }

    /// Closes the direction to the client.
    pub(super) async fn shutdown(&mut self) -> io::Result<()> {
        self.half_mut().shutdown().await
    }

    /// The connection.
    pub(super) fn stream(&self) -> &TcpStream {
        self.half.as_ref().expect(HALF_IS_THERE).as_ref()
    }
}

impl Drop for ClientWriter {
    /// Leaves the end of the connection to its close, which may be a reset. Otherwise the half
    /// would tell the client before that the answer has ended.
    fn drop(&mut self) {
        if let Some(half) = self.half.take() {
            half.forget();
        }
    }
}
