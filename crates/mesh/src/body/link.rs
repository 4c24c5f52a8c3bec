//! Bodies received over links.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;

use super::BodyTruncated;
use crate::peers::LinkGuard;

/// A body received over a link.
#[derive(Debug)]
pub struct LinkBody {
    stream: RecvStream,
    /// Data that came with the head.
    buffered: Bytes,
    /// Data that was read before it was asked for. It takes up the stream's window, which
    /// bounds it.
    ahead: VecDeque<Bytes>,
    /// How the stream has ended.
    end: Option<Result<(), BodyTruncated>>,
    /// Keeps the link open until the body is dropped.
    link_guard: Option<LinkGuard>,
}

impl LinkBody {
    /// Creates the body of the data `buffered` so far and the rest of `stream`.
    #[must_use]
    pub fn new(stream: RecvStream, buffered: BytesMut) -> LinkBody {
        LinkBody {
            stream,
            buffered: buffered.freeze(),
            ahead: VecDeque::new(),
            end: None,
            link_guard: None,
        }
    }

    /// Keeps the link open until the body is dropped.
    #[must_use]
    pub fn with_link_guard(self, link_guard: LinkGuard) -> LinkBody {
        LinkBody {
            link_guard: Some(link_guard),
            ..self
        }
    }

    /// Reads the next data; `None` at the end of the body.
    ///
    /// # Errors
    /// [`BodyTruncated`] if the other daemon or the link ended the stream early.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        loop {
            if let Some(Err(error)) = self.end {
                return Err(error);
            }
            if let Some(data) = self.ahead.pop_front() {
                let released = self.stream.flow_control().release_capacity(data.len());
                released.map_err(|_| BodyTruncated::BrokenOff)?;
                return Ok(Some(data));
            }
            if self.end.is_some() {
                return Ok(None);
            }
            self.read().await;
        }
    }

    /// Returns when the stream has ended early. Cancel safe.
    pub async fn cut(&mut self) -> BodyTruncated {
        loop {
            match self.end {
                Some(Err(error)) => return error,
                Some(Ok(())) => std::future::pending().await,
                None => self.read().await,
            }
        }
    }

    /// Reads once from the stream. Cancel safe.
    ///
    /// Skips empty frames, like [`next_data`].
    async fn read(&mut self) {
        match self.stream.data().await {
            Some(Ok(data)) => {
                if let Some(link) = &self.link_guard {
                    link.record_received();
                }
                if !data.is_empty() {
                    self.ahead.push_back(data);
                }
            }
            Some(Err(_)) => self.end = Some(Err(BodyTruncated::BrokenOff)),
            None => self.end = Some(Ok(())),
        }
    }
}

/// Reads the next data of a stream and releases its flow-control window.
/// Returns `None` at the end of the stream.
///
/// Skips empty frames. The frame that ends a stream is often empty, and empty
/// data written in chunked encoding is the chunk that ends a body. The client
/// would then read the real last chunk as the start of its next answer.
pub async fn next_data(stream: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    loop {
        let data = match stream.data().await? {
            Ok(data) => data,
            Err(error) => return Some(Err(error)),
        };
        if let Err(error) = stream.flow_control().release_capacity(data.len()) {
            return Some(Err(error));
        }
        if !data.is_empty() {
            return Some(Ok(data));
        }
    }
}
