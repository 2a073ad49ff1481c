//! Accepting of connections within the bounds of a listener.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Response,
    body::{Body, Bytes, Frame, SizeHint},
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::yield_now,
    time::{sleep, timeout},
};

use crate::{
    connection_account::{ConnectionAccount, OpenConnection, Work},
    host_state::HostState,
    response_body::ResponseBody,
};

/// Pause after a failure to accept. The connection that could not be accepted stays in the listener's
/// queue, so that without a pause the same failure would come again at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Accepts the next connection for which there is room.
pub(crate) async fn accept(
    state: &HostState,
    listener: &TcpListener,
    account: &Arc<ConnectionAccount>,
) -> (TcpStream, Arc<OpenConnection>) {
    loop {
        let accepted = try_accept(listener, account).await;
        log_report(state, account);
        if let Some(accepted) = accepted {
            return accepted;
        }
    }
}

/// Accepts the next connection. Returns `None` if there is no room for it, or if accepting fails,
/// after a pause.
pub async fn try_accept(
    listener: &TcpListener,
    account: &Arc<ConnectionAccount>,
) -> Option<(TcpStream, Arc<OpenConnection>)> {
    // Connections that were told to close, and those whose first bytes have come, run before another
    // one is accepted. Otherwise a burst of connections holds more than the bound, and closes some
    // whose request has arrived.
    if account.is_full() {
        yield_now().await;
    }
    match listener.accept().await {
        Ok((stream, _)) => account.open().map(|connection| (stream, connection)),
        Err(_) => {
            account.record_failure();
            sleep(FAILURE_PAUSE).await;
            None
        }
    }
}

fn log_report(state: &HostState, account: &ConnectionAccount) {
    let Some(report) = account.take_report() else {
        return;
    };
    let why = if report.failures > 0 {
        "cannot accept"
    } else {
        "too many connections"
    };
    let inputs = [
        ("closed", report.closed as f64),
        ("failures", report.failures as f64),
        ("open", report.open as f64),
    ];
    state.log_event("connections_closed", report.listener, why, &inputs);
}

/// Waits until something comes on a new connection, at most for `wait`. Until then there is no read
/// buffer for it. Returns whether something came.
///
/// `readable` does not serve here: a stream counts as readable until a read finds nothing.
pub async fn wait_for_input(stream: &TcpStream, wait: Duration) -> bool {
    let mut first = [0];
    matches!(timeout(wait, stream.peek(&mut first)).await, Ok(Ok(1..)))
}

/// Makes a connection count as at work until the body of a response is written.
pub(crate) fn with_work(response: Response<ResponseBody>, work: Work) -> Response<ResponseBody> {
    response.map(|body| ResponseBody::new(WorkBody { body, _work: work }))
}

/// Body of a response, with the work that it ends.
struct WorkBody {
    body: ResponseBody,
    _work: Work,
}

impl Body for WorkBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
