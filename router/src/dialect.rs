//! Traits that translate between the router's own types and the outside: the protocol of callers
//! and backend servers, and the items of the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{
    answer_id::AnswerId,
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
    call::{Call, CallHead},
    refusal::Refusal,
    response_body::{ResponseBody, full_body},
    rollout::{RolloutOrder, RolloutStatus},
    server::{LoadReport, ServerEntry},
};

/// The parameters of one attempt, from which the dialect makes the request to a backend server.
pub struct AttemptContext<'a> {
    /// The caller's request.
    pub call: &'a Call,
    /// Number of the attempt, from zero.
    pub number: u32,
    /// Name of the server that is addressed; a server of another name must refuse.
    pub server: &'a str,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Name of the model, if the router chose it.
    pub model: Option<&'a str>,
    /// Id of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What the head of a backend server's response means for the request that it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    /// The server answered the request.
    Answered,
    /// The server states that the request did not run.
    NotRun,
    /// The server failed; another server may succeed.
    #[default]
    Failed,
    /// The request itself is invalid; every server would reject it.
    Rejected(Refusal),
}

/// The head of a backend server's response, as parsed by the dialect.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Which request the response names.
    pub id: AnswerId,
    /// What the response means if it answers this request.
    pub verdict: Verdict,
    /// Whether the server signed the response.
    pub is_signed: bool,
    /// Whether an intermediary encoded the body, so that its bytes are not the server's own.
    pub is_encoded: bool,
    /// Load that the server reports.
    pub load: Option<LoadReport>,
    /// Rate of requests that the server takes from all hosts together, requests per second; none if
    /// it names none.
    pub limit: Option<f64>,
    /// Refusals per second above which the server falls over; none if it names none.
    pub refusal_limit: Option<f64>,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants nothing from this host, with the refusal of a request.
    pub rest: Option<Duration>,
    /// Whether the server names a time of rest that cannot be read.
    pub is_rest_unreadable: bool,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the server closes the connection after this response.
    pub is_closing: bool,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// An incremental reader for the event stream of one attempt.
pub trait EventReader: Send + Sync {
    /// Reads the next bytes. Returns the events for the caller that are complete now, up to the first
    /// one that cannot be relayed.
    ///
    /// # Errors
    ///
    /// Returns why the stream cannot be relayed further, if there is no event before.
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError>;

    /// Returns why the stream cannot be relayed beyond the events that were returned.
    fn failure(&self) -> Option<StreamError>;

    /// Returns the id of the last event that the caller has, from this attempt or an earlier one.
    fn last_id(&self) -> Option<u64>;

    /// Returns the number of events for the caller so far.
    fn event_count(&self) -> u64;

    /// Whether the stream's own end marker has arrived.
    fn has_ended(&self) -> bool {
        false
    }

    /// Whether the response is complete if no more bytes follow. `is_clean` is whether the body
    /// ended properly rather than broke off.
    fn is_complete(&self, is_clean: bool) -> bool;

    /// Returns the events that are held back until the request's outcome is recorded.
    fn final_events(&mut self) -> Bytes {
        Bytes::new()
    }
}

impl EventReader for EventSplitter {
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.push(bytes).map(Bytes::from)
    }

    fn failure(&self) -> Option<StreamError> {
        self.failure()
    }

    fn last_id(&self) -> Option<u64> {
        self.last_id()
    }

    fn event_count(&self) -> u64 {
        self.events()
    }

    fn is_complete(&self, is_clean: bool) -> bool {
        is_clean && self.is_at_boundary()
    }
}

/// The protocol of callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Returns the caller's id of a request, to log requests whose head is refused.
    fn request_id<'a>(&self, head: &'a request::Parts) -> Option<&'a str>;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the head is malformed or the routing table does not allow the request.
    fn read_call(&self, head: &request::Parts, table: &RoutingTable) -> Result<CallHead, Refusal>;

    /// Builds the headers of the request to a backend server.
    fn attempt_headers(&self, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Whether responses bear the id of their request. If not, each request gets a new connection, as
    /// a late answer to another request could not be told apart on one that is kept.
    fn has_response_ids(&self) -> bool;

    /// Parses the head of a backend server's response.
    fn read_response(&self, head: &response::Parts, call: &Call) -> ResponseHead;

    /// Builds the headers for the caller from those of a backend server's response.
    fn response_headers(&self, headers: HeaderMap, call: &Call) -> HeaderMap;

    /// Builds the response to a caller whose request was refused; `head` is `None` if it could not
    /// be parsed.
    fn refusal_response(
        &self,
        refusal: &Refusal,
        head: Option<&CallHead>,
    ) -> Response<ResponseBody>;

    /// Creates a reader for the event stream of an attempt. `None` selects the default reader,
    /// which looks only at event ids.
    fn event_reader(&self, _attempt: &AttemptContext<'_>) -> Option<Box<dyn EventReader>> {
        None
    }

    /// Builds the last event of a stream that cannot be completed. With `None`, the connection is
    /// closed within the response, so that the caller sees that it is incomplete.
    fn error_event(&self, _refusal: &Refusal, _call: &Call) -> Option<Bytes> {
        None
    }

    /// Builds a single response from all events of a stream.
    fn buffered_response(&self, events: Bytes, _call: &Call) -> Response<ResponseBody> {
        Response::new(full_body(events))
    }

    /// Whether a status promises that the request did not run.
    fn promises_not_run(&self, status: StatusCode) -> bool;
}

/// What is refused because it crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Block {
    /// A request content, by the hash of account and content.
    Content(u64),
    /// A prompt part, by its id.
    Part(u64),
}

/// A parsed item of the store.
pub enum StoreItem {
    /// The operators' routing table.
    Routing(Arc<RoutingTable>),
    /// The entry of a backend server.
    Server(ServerEntry),
    /// An operator's order to roll out a version.
    RolloutOrder(RolloutOrder),
    /// The progress of a rollout.
    RolloutStatus(RolloutStatus),
    /// The entry of an entry host.
    Host {
        /// Name of the host.
        name: Name,
        /// Address on which the host serves its peers.
        address: SocketAddr,
    },
    /// A zone whose servers get no new requests.
    Evacuation(Name),
    /// A content or prompt part that is refused because it crashes servers.
    Block(Block),
    /// An item that the router does not use.
    Other,
}

/// A schema without items, for a data path that does not read the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EmptySchema;

impl StoreSchema for EmptySchema {
    fn prefixes(&self) -> Vec<String> {
        Vec::new()
    }

    fn read(&self, _key: &str, _value: &Bytes) -> Result<StoreItem, String> {
        Ok(StoreItem::Other)
    }

    fn server_name<'a>(&self, _key: &'a str) -> Option<&'a str> {
        None
    }

    fn evacuated_zone<'a>(&self, _key: &'a str) -> Option<&'a str> {
        None
    }

    fn host_item(&self, name: &str, _address: SocketAddr) -> (String, Vec<u8>) {
        (name.to_owned(), Vec::new())
    }

    fn status_item(&self, status: &RolloutStatus) -> (String, Vec<u8>) {
        (status.service.to_string(), Vec::new())
    }

    fn status_service<'a>(&self, _key: &'a str) -> Option<&'a str> {
        None
    }

    fn block_item(&self, block: Block) -> (String, Vec<u8>) {
        (format!("{block:?}"), Vec::new())
    }

    fn block(&self, _key: &str) -> Option<Block> {
        None
    }
}

/// The layout of keys and values in the store.
pub trait StoreSchema: Send + Sync {
    /// Returns the prefixes of the keys that the router reads.
    fn prefixes(&self) -> Vec<String>;

    /// Parses an item.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the key or the value.
    fn read(&self, key: &str, value: &Bytes) -> Result<StoreItem, String>;

    /// Returns the server's name if `key` is that of a backend server's entry.
    fn server_name<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Returns the zone if `key` is that of its evacuation.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Builds the key and value of this host's entry.
    fn host_item(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>);

    /// Builds the key and value of a rollout's status.
    fn status_item(&self, status: &RolloutStatus) -> (String, Vec<u8>);

    /// Returns the service if `key` is that of its rollout's status.
    fn status_service<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Builds the key and value of a block.
    fn block_item(&self, block: Block) -> (String, Vec<u8>);

    /// Returns the block if `key` is that of one.
    fn block(&self, key: &str) -> Option<Block>;
}
