//! HTTP/1.1 messages as the call path needs them: heads parsed by `httparse`,
//! bodies decoded piece by piece, nothing held whole.
//!
//! `hyper` hides three things that the call path decides on: which bytes of a
//! connection were read (a request behind a closed answer counts as unread),
//! several requests of one connection in work at once, and answers that
//! belong to no request. This crate leaves all three to its caller.

pub mod body;
pub mod head;
pub mod reader;

pub use body::{BodyDecoder, BodyError, BodyFraming};
pub use head::{FieldList, HeadError, RequestHead, ResponseHead};
pub use reader::{MessageReader, ReadError};
