//! Body type of responses to callers.

use std::{convert::Infallible, io};

use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response,
    body::{Bytes, Incoming},
    http::response,
};

/// Body of a response to a caller, streamed or complete.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a copy of a response's status and headers.
pub(crate) fn copied_parts(response: &Response<Incoming>) -> response::Parts {
    let mut copy = Response::new(());
    *copy.status_mut() = response.status();
    *copy.headers_mut() = response.headers().clone();
    copy.into_parts().0
}

/// Wraps bytes that are already complete as a response body.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    UnsyncBoxBody::new(body.map_err(|never: Infallible| match never {}))
}
