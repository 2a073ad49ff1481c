//! Exchange of store views between hosts over HTTP.
//!
//! One host of each zone, the relay, reads the store for the others; a host that is cut off from
//! the store asks any peer with a newer view.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{link_pacer::LinkPacer, view_age::MAX_VIEW_AGE};
use clementinearch_storage::{MAX_REVISION, StorePosition};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Bytes, Incoming},
    header::CONTENT_LENGTH,
};
use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    time::{Instant, timeout},
};

use crate::{
    body_buffer::{BodyLimit, read_body},
    connections::{Connection, SendOutcome, connect},
    forwarding,
    host_state::HostState,
    internal_http::{self, InternalResponse, with_status},
    paced_body::paced_body,
    view::{RevisionRange, ViewDelta},
    view_codec::{MAX_RESPONSE_BYTES, compress, decompress},
};

/// Longest that a request waits for changes; hosts that read from a relay notice within it that the
/// relay lost the store.
const CHANGES_WAIT: Duration = Duration::from_millis(700);

/// Time beyond `CHANGES_WAIT` that a peer's response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Header with the revision up to which the sender's view is complete.
const STORE_REVISION_HEADER: &str = "store-revision";

/// Header with the era of that revision. Hosts of earlier versions send none.
const STORE_ERA_HEADER: &str = "store-era";

/// Header with the time since the store last answered the sender, milliseconds.
const STORE_AGE_MS_HEADER: &str = "store-age-ms";

/// Header with the time until the whole of a paced response is sent, milliseconds.
const VIEW_DUE_MS_HEADER: &str = "view-due-ms";

/// Longest time that a peer's response is waited for beyond the usual: a configuration of the
/// largest size on a slow link.
const MAX_VIEW_DUE: Duration = Duration::from_secs(2);

/// Number of compressed responses that are cached: peers are at most a few changes behind.
const MAX_CACHED_RESPONSES: usize = 4;

/// Longest wait for a peer's next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Path prefix for changes; the revision after which they are wanted follows.
const CHANGES_PATH: &str = "/changes/";

/// Query of that path, with the era of the revision if the store names one. Hosts of earlier versions
/// neither send nor read it.
const ERA_QUERY: &str = "era=";

/// Changes read from a peer, with the age and revision of its view.
pub(crate) struct PeerView {
    /// Changes, or all items.
    pub(crate) delta: ViewDelta,
    /// State of the store up to which the peer's view is complete.
    pub(crate) position: StorePosition,
    /// Whether the peer names the era of that state. If not, it is presumed to be the own one.
    pub(crate) names_era: bool,
    /// Time since the store last answered the peer, when it began to answer.
    pub(crate) age: Duration,
    /// Time from the begin to the end of the answer.
    pub(crate) transfer: Duration,
}

/// Cache of compressed responses, each shared by all peers that are equally far behind.
/// Uncompressed, a large configuration would saturate the link of a small host.
#[derive(Default)]
struct ResponseCache {
    /// Deltas by range, oldest first.
    compressed: tokio::sync::Mutex<Vec<(RevisionRange, Bytes)>>,
}

impl ResponseCache {
    /// Returns the compressed changes after a state of the store, and the state up to which the view
    /// is complete.
    async fn after(
        &self,
        state: &HostState,
        after: StorePosition,
    ) -> io::Result<(Bytes, StorePosition)> {
        // Peers that want the same changes wait for the first of them to be answered.
        let mut compressed = self.compressed.lock().await;
        let (range, position, delta) = {
            let view = state.view.lock();
            let range = view.range_after(after);
            let position = view.position();
            if let Some((_, body)) = compressed.iter().find(|(of, _)| *of == range) {
                return Ok((body.clone(), position));
            }
            (range, position, view.delta(range))
        };
        let body = compress(delta).await?;
        if compressed.len() >= MAX_CACHED_RESPONSES {
            compressed.remove(0);
        }
        compressed.push((range, body.clone()));
        Ok((body, position))
    }
}

/// What is needed to answer peers that ask for this host's view.
struct ViewServer {
    state: Arc<HostState>,
    cache: ResponseCache,
    pacer: Mutex<LinkPacer>,
}

/// Serves peers until the process ends: this host's view, and requests that they forward.
pub(crate) async fn serve(state: Arc<HostState>, listener: Arc<TcpListener>) {
    let of = state.clone();
    let server = Arc::new(ViewServer {
        cache: ResponseCache::default(),
        pacer: Mutex::new(LinkPacer::new(state.settings.limits.link_mbps)),
        state,
    });
    let respond = move |req: Request<Incoming>| {
        let server = server.clone();
        async move {
            if forwarding::is_forwarded(&req) {
                return forwarding::serve(server.state.clone(), req).await;
            }
            server.respond(req.uri()).await
        }
    };
    internal_http::serve(&of, &listener, &of.connections.peers, IDLE_TIMEOUT, respond).await;
}

impl ViewServer {
    async fn respond(&self, uri: &Uri) -> InternalResponse {
        let own = self.state.view.lock().position();
        let Some(after) = read_position(uri, own.era) else {
            return with_status(StatusCode::NOT_FOUND, Bytes::new());
        };
        if after.era > own.era {
            // The peer reads the store, which this host has not reached since it came back.
            return with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        self.wait_for_change(after).await;
        match self.cache.after(&self.state, after).await {
            Ok((body, position)) => self.paced_response(body, position),
            Err(_) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        }
    }

    /// Waits up to [`CHANGES_WAIT`] for a change after a state of the store, but no longer than this
    /// host's view is recent enough for peers, which then read the store.
    async fn wait_for_change(&self, after: StorePosition) {
        let state = &self.state;
        let end = state.now().after(CHANGES_WAIT);
        loop {
            let now = state.now();
            let until = end.min(state.last_store_contact().after(MAX_VIEW_AGE));
            if now >= until || state.view.lock().has_relevant_change(after) {
                return;
            }
            state.wait_for_change(after, until.since(now)).await;
        }
    }

    /// Builds the response with a view that is complete up to `position`, unless too many others wait
    /// for this host's link.
    fn paced_response(&self, body: Bytes, position: StorePosition) -> InternalResponse {
        let state = &self.state;
        let now = state.now();
        let length = body.len();
        let Some(turn) = self.pacer.lock().take_turn(length, now) else {
            metrics::counter!("clementinearch_views_declined_total").increment(1);
            return with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        metrics::counter!("clementinearch_view_bytes_total").increment(length as u64);
        metrics::histogram!("clementinearch_view_turn_wait_seconds")
            .record(turn.due(0).since(now).as_secs_f64());
        let age = now.since(state.last_store_contact());
        let mut response = Response::new(paced_body(state.clone(), body, turn));
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, length.into());
        headers.insert(STORE_REVISION_HEADER, position.revision.into());
        headers.insert(STORE_ERA_HEADER, position.era.into());
        headers.insert(STORE_AGE_MS_HEADER, (age.as_millis() as u64).into());
        let due = turn.end().since(now);
        headers.insert(VIEW_DUE_MS_HEADER, (due.as_millis() as u64).into());
        response
    }
}

/// Reads the state after which a peer wants changes. Without an era it is presumed to be of this host's
/// own.
fn read_position(uri: &Uri, own_era: u64) -> Option<StorePosition> {
    let revision = uri.path().strip_prefix(CHANGES_PATH)?.parse().ok()?;
    let era = match uri.query() {
        Some(query) => query.strip_prefix(ERA_QUERY)?.parse().ok()?,
        None => own_era,
    };
    Some(StorePosition { era, revision })
}

/// Client for peers' views that keeps one connection open.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    connection: Option<(SocketAddr, Connection)>,
}

impl PeerClient {
    /// Reads the changes after `position` from `peer`, which waits up to `CHANGES_WAIT` for one.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached, does not answer in time or sends a
    /// response that cannot be read.
    pub(crate) async fn changes(
        &mut self,
        peer: SocketAddr,
        position: StorePosition,
    ) -> io::Result<PeerView> {
        let kept = self.connection.take().filter(|kept| kept.0 == peer);
        let limit = CHANGES_WAIT + RESPONSE_TIMEOUT;
        let asked = timeout(limit, ask(kept.map(|kept| kept.1), peer, position)).await;
        let (response, connection) =
            asked.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let view = read(response, position.era).await?;
        self.connection = Some((peer, connection));
        Ok(view)
    }
}

/// Sends the request for changes and waits for the head of the response.
async fn ask(
    kept: Option<Connection>,
    peer: SocketAddr,
    position: StorePosition,
) -> io::Result<(Response<Incoming>, Connection)> {
    let mut connection = match kept {
        Some(connection) if connection.is_open() => connection,
        _ => connect(peer).await?,
    };
    let mut target = format!("{CHANGES_PATH}{}", position.revision);
    if position.era != 0 {
        target.push_str(&format!("?{ERA_QUERY}{}", position.era));
    }
    let req = Request::get(target)
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let SendOutcome::Response(response) = connection.send(req).await else {
        return Err(io::ErrorKind::ConnectionReset.into());
    };
    Ok((response, connection))
}

/// Reads a response to its end, which may take as long as the peer says. `own_era` is the era that a
/// peer means which names none.
async fn read(response: Response<Incoming>, own_era: u64) -> io::Result<PeerView> {
    let began_at = Instant::now();
    let (parts, body) = response.into_parts();
    if parts.status != StatusCode::OK {
        return Err(io::Error::other(format!(
            "the peer answers {}",
            parts.status
        )));
    }
    // Peers of earlier versions send at once and name no time.
    let due_ms = parse_header(&parts.headers, VIEW_DUE_MS_HEADER, u64::MAX).unwrap_or(0);
    let limit = Duration::from_millis(due_ms).min(MAX_VIEW_DUE) + RESPONSE_TIMEOUT;
    let body = read_body(body, BodyLimit::of_response(MAX_RESPONSE_BYTES));
    let body = timeout(limit, body).await;
    let body = body.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    let body = body.map_err(io::Error::other)?;
    let transfer = began_at.elapsed();
    let names_era = parts.headers.contains_key(STORE_ERA_HEADER);
    let era = if names_era {
        parse_header(&parts.headers, STORE_ERA_HEADER, u64::MAX)?
    } else {
        own_era
    };
    Ok(PeerView {
        delta: decompress(body).await?,
        position: StorePosition {
            era,
            revision: parse_header(&parts.headers, STORE_REVISION_HEADER, MAX_REVISION)?,
        },
        names_era,
        age: Duration::from_millis(parse_header(&parts.headers, STORE_AGE_MS_HEADER, u64::MAX)?),
        transfer,
    })
}

fn parse_header(headers: &HeaderMap, name: &str, max: u64) -> io::Result<u64> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .filter(|number| *number <= max)
        .ok_or_else(|| io::Error::other(format!("the peer's response has no valid {name} header")))
}
