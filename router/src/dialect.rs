//! The borders at which a dialect is translated: callers and backend servers, and the store's items.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{
    event_stream::{EventSplitter, StreamError},
    names::Name,
    routes::RoutingTable,
};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Bytes,
    http::{request, response},
};

use crate::{
    answer_body::{AnswerBody, full_body},
    call::{Call, CallHead},
    refusal::Refusal,
    rollouts::{RolloutOrder, RolloutStatus},
    server::{LoadReport, ServerEntry},
};

/// One attempt, as the backend server is told of it.
pub struct AttemptOrder<'a> {
    /// The request.
    pub call: &'a Call,
    /// Number of the attempt, from zero.
    pub number: u32,
    /// Name of the server that is meant; any other refuses.
    pub server: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that is left.
    pub remaining: Duration,
    /// The model, if the router chose it.
    pub model: Option<&'a str>,
    /// Last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What the head of a backend server's answer says of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is this request's own.
    Own,
    /// The answer belongs to another request.
    #[default]
    NotOwn,
    /// The server states that the request did not run.
    NotRun,
    /// The server failed; another one may do better.
    Failed,
    /// The request itself is wrong: no server would do better.
    Rejected(Refusal),
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// What it says of the request.
    pub verdict: Verdict,
    /// The server signed the answer.
    pub is_signed: bool,
    /// The bytes are not the server's own: an intermediary encoded them.
    pub is_encoded: bool,
    /// Load of the server.
    pub load: Option<LoadReport>,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// The server closes the connection after this answer.
    pub is_closing: bool,
    /// How long the server keeps the idle connection.
    pub keep_alive: Option<Duration>,
}

/// Reads the events of one attempt's stream, up to its end or break.
pub trait EventReader: Send + Sync {
    /// Takes in bytes. Returns the events for the caller that are whole now.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot go on.
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError>;

    /// Id of the last event that the caller has, from this attempt or an earlier one.
    fn last_id(&self) -> Option<u64>;

    /// Events for the caller so far.
    fn events(&self) -> u64;

    /// Whether the stream said that it is complete.
    fn has_ended(&self) -> bool {
        false
    }

    /// Whether the answer is whole if no byte follows; `is_clean` if the body came to its end.
    fn is_whole(&self, is_clean: bool) -> bool;

    /// Events that are held back until the request is accounted for.
    fn closing(&mut self) -> Bytes {
        Bytes::new()
    }
}

impl EventReader for EventSplitter {
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.push(bytes).map(Bytes::from)
    }

    fn last_id(&self) -> Option<u64> {
        self.last_id()
    }

    fn events(&self) -> u64 {
        self.events()
    }

    fn is_whole(&self, is_clean: bool) -> bool {
        is_clean && self.is_at_boundary()
    }
}

/// Translates requests and answers.
pub trait Dialect: Send + Sync {
    /// The caller's id of a request, for the log of one that cannot be read.
    fn request_id<'a>(&self, head: &'a request::Parts) -> Option<&'a str>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be served under this table.
    fn read_call(&self, head: &request::Parts, table: &RoutingTable) -> Result<CallHead, Refusal>;

    /// Headers of the request towards a backend server.
    fn attempt_headers(&self, order: &AttemptOrder<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_answer(&self, head: &response::Parts, call: &Call) -> AnswerHead;

    /// Headers of a backend server's answer that the caller gets.
    fn answer_headers(&self, headers: HeaderMap, call: &Call) -> HeaderMap;

    /// The answer to a caller whose request ends without a backend server's answer; `head` is absent
    /// if it could not be read.
    fn refuse(&self, refusal: &Refusal, head: Option<&CallHead>) -> Response<AnswerBody>;

    /// Reads the events of one attempt's stream; without one, events are told by their ids alone.
    fn event_reader(&self, _order: &AttemptOrder<'_>) -> Option<Box<dyn EventReader>> {
        None
    }

    /// Last event of a stream that cannot be completed; without one the answer breaks visibly off.
    fn broken_event(&self, _refusal: &Refusal, _call: &Call) -> Option<Bytes> {
        None
    }

    /// The answer to a caller that takes a stream's events as one answer.
    fn whole_answer(&self, events: Bytes, _call: &Call) -> Response<AnswerBody> {
        Response::new(full_body(events))
    }

    /// Whether a status promises that the request did not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;
}

/// What an item of the store means.
pub enum Item {
    /// The operators' routing table.
    Routing(Arc<RoutingTable>),
    /// A backend server.
    Server(ServerEntry),
    /// An order to bring in a version.
    RolloutOrder(RolloutOrder),
    /// How far a roll-out is.
    RolloutStatus(RolloutStatus),
    /// An entry host.
    Host {
        /// Its name.
        name: Name,
        /// Its address for peers.
        address: SocketAddr,
    },
    /// Not for the router.
    Other,
}

/// Reads no items: what the path works on comes from elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoItems;

impl Translator for NoItems {
    fn prefixes(&self) -> Vec<String> {
        Vec::new()
    }

    fn read(&self, _key: &str, _value: &Bytes) -> Result<Item, String> {
        Ok(Item::Other)
    }

    fn server_name<'a>(&self, _key: &'a str) -> Option<&'a str> {
        None
    }

    fn host_item(&self, name: &str, _address: SocketAddr) -> (String, Vec<u8>) {
        (name.to_owned(), Vec::new())
    }

    fn status_item(&self, status: &RolloutStatus) -> (String, Vec<u8>) {
        (status.service.to_string(), Vec::new())
    }
}

/// Translates the store's items; keys and values are the store's own.
pub trait Translator: Send + Sync {
    /// Prefixes of the keys that the router reads.
    fn prefixes(&self) -> Vec<String>;

    /// Reads an item.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with an item that cannot be read.
    fn read(&self, key: &str, value: &Bytes) -> Result<Item, String>;

    /// Key of the entry that `key` names, if it names a backend server.
    fn server_name<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Key and value of this host's own entry.
    fn host_item(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>);

    /// Key and value of a roll-out's status.
    fn status_item(&self, status: &RolloutStatus) -> (String, Vec<u8>);
}
