//! Bodies of answers to callers.

use std::{convert::Infallible, io};

use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Bytes;

/// Body of an answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    UnsyncBoxBody::new(body.map_err(|never: Infallible| match never {}))
}
