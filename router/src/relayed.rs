//! Hosts learn the store's items from each other: one host of a zone reads the store for the
//! others, and a host that is cut off from the store asks any peer that knows more.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, StatusCode, body::Bytes};
use parking_lot::Mutex;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    board::Board,
    connections::{Connection, SendOutcome, connect},
    internal_http::{self, InternalResponse, with_status},
    view::{Span, ViewRows},
};

/// Longest that a peer is kept waiting for news: a relay that lost the store is noticed after it.
const NEWS_WAIT: Duration = Duration::from_millis(700);

/// Longest wait for a peer's answer beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest answer that is read, bytes as they come and unpacked.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Header with the revision that the sender's view is complete up to.
const STORE_REVISION: &str = "store-revision";

/// Header with the time since the store answered the sender, milliseconds.
const STORE_AGE: &str = "store-age-ms";

/// Answers that are kept written: peers are a few changes behind at most.
const KEPT_ANSWERS: usize = 4;

/// Longest wait for a peer's next request.
const IDLE: Duration = Duration::from_secs(5);

/// Path of the changes after the revision behind it.
const CHANGES_PATH: &str = "/changes/";

/// What a peer's view told, and how complete and old it is.
pub(crate) struct PeerView {
    /// The changes.
    pub(crate) rows: ViewRows,
    /// Revision that the peer's view is complete up to.
    pub(crate) store_revision: u64,
    /// Time since the store answered the peer.
    pub(crate) age: Duration,
}

/// Answers to peers, each written once for all peers that are equally far behind: a large
/// configuration would else fill the link of a small host.
#[derive(Default)]
struct Answers {
    /// The latest ones, the oldest first.
    written: Mutex<Vec<(Span, Bytes)>>,
}

impl Answers {
    /// The packed rows after a revision, and the revision that the view is complete up to.
    fn after(&self, board: &Board, after: u64) -> io::Result<(Bytes, u64)> {
        let mut written = self.written.lock();
        let view = board.view.lock();
        let span = view.span_after(after);
        let store_revision = view.store_revision();
        if let Some((_, body)) = written.iter().find(|(of, _)| *of == span) {
            return Ok((body.clone(), store_revision));
        }
        let rows = view.rows(span);
        drop(view);
        let body = pack(&rows)?;
        if written.len() >= KEPT_ANSWERS {
            written.remove(0);
        }
        written.push((span, body.clone()));
        Ok((body, store_revision))
    }
}

fn pack(rows: &ViewRows) -> io::Result<Bytes> {
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    packer.write_all(&serde_json::to_vec(rows)?)?;
    Ok(packer.finish()?.into())
}

fn unpack(body: &[u8]) -> io::Result<ViewRows> {
    let mut rows = Vec::new();
    ZlibDecoder::new(body)
        .take(MAX_ANSWER_BYTES as u64)
        .read_to_end(&mut rows)?;
    Ok(serde_json::from_slice(&rows)?)
}

/// Serves this host's view to peers.
pub(crate) async fn serve(board: Arc<Board>, listener: TcpListener) {
    let answers = Arc::new(Answers::default());
    let answer = move |path: String| {
        let (board, answers) = (board.clone(), answers.clone());
        async move { answer(&board, &answers, &path).await }
    };
    internal_http::serve(listener, IDLE, answer).await;
}

async fn answer(board: &Board, answers: &Answers, path: &str) -> InternalResponse {
    let after = path
        .strip_prefix(CHANGES_PATH)
        .and_then(|revision| revision.parse().ok());
    let Some(after) = after else {
        return with_status(StatusCode::NOT_FOUND, Bytes::new());
    };
    board.wait_for_news(after, NEWS_WAIT).await;
    let Ok((body, store_revision)) = answers.after(board, after) else {
        return with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    };
    let age = board.now().since(board.store_heard());
    let mut answer = with_status(StatusCode::OK, body);
    let headers = answer.headers_mut();
    headers.insert(STORE_REVISION, store_revision.into());
    headers.insert(STORE_AGE, (age.as_millis() as u64).into());
    answer
}

/// Reads changes from peers, over one kept connection.
#[derive(Debug, Default)]
pub(crate) struct RelayClient {
    kept: Option<(SocketAddr, Connection)>,
}

impl RelayClient {
    /// What changed after `revision`, as far as `peer` knows. Waits for news.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn changes(
        &mut self,
        peer: SocketAddr,
        revision: u64,
    ) -> io::Result<PeerView> {
        let kept = self.kept.take().filter(|(address, _)| *address == peer);
        let limit = NEWS_WAIT + ANSWER_TIMEOUT;
        let read = timeout(limit, read(kept.map(|(_, it)| it), peer, revision)).await;
        let (view, connection) = read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        self.kept = Some((peer, connection));
        Ok(view)
    }
}

async fn read(
    kept: Option<Connection>,
    peer: SocketAddr,
    revision: u64,
) -> io::Result<(PeerView, Connection)> {
    let mut connection = match kept {
        Some(connection) if connection.is_open() => connection,
        _ => connect(peer).await?,
    };
    let req = Request::get(format!("{CHANGES_PATH}{revision}"))
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let SendOutcome::Response(answer) = connection.send(req).await else {
        return Err(io::ErrorKind::ConnectionReset.into());
    };
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    let view = PeerView {
        rows: unpack(&body.to_bytes())?,
        store_revision: read_number(&parts.headers, STORE_REVISION)?,
        age: Duration::from_millis(read_number(&parts.headers, STORE_AGE)?),
    };
    Ok((view, connection))
}

fn read_number(headers: &HeaderMap, name: &str) -> io::Result<u64> {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| io::Error::other(format!("a peer's answer has no number in {name}")))
}
