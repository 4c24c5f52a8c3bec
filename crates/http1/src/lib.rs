//! HTTP/1.1 messages over a byte stream. `httparse` parses the heads; bodies are
//! decoded as a stream and never buffered whole.
//!
//! The request path has to decide three things that `hyper` does not expose:
//! which bytes of a connection have been read (a request that arrives after a
//! response that closes the connection counts as unread), how several
//! pipelined requests of one connection are processed at once, and what happens
//! to a response that matches no request. This crate leaves all three to its
//! caller.

pub mod body;
pub mod encoder;
pub mod head;
pub mod reader;

pub use body::{BodyDecoder, BodyError, BodyFraming};
pub use encoder::{BodyEncoder, LengthMismatch};
pub use head::{FieldFault, FieldList, HeadError, RequestHead, ResponseHead};
pub use reader::{MessageReader, ReadError};
