//! Body type of responses to callers.

use std::{convert::Infallible, io};

use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Bytes;

/// Body of a response to a caller, streamed or complete.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Wraps bytes that are already complete as a response body.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    UnsyncBoxBody::new(body.map_err(|never: Infallible| match never {}))
}
