//! What the head of a response must show before its events reach the caller.

use clementinearch_policy::{answer_id::AnswerId, server_health::AttemptOutcome};
use hyper::StatusCode;

use crate::{
    active_request::ActiveRequest, attempt::AttemptResponse, dialect::ResponseHead,
    forwarding::PeerResponse, health_tracking::record_server_outcome,
};

/// Whether a caller's stream may begin or go on with the body of this response. The status alone
/// does not show that the bytes are the server's own.
pub(crate) fn is_usable_stream_head(response: &AttemptResponse) -> bool {
    is_usable(response.parts.status, &response.head)
}

fn is_usable(status: StatusCode, head: &ResponseHead) -> bool {
    status.is_success() && head.is_signed && !head.is_encoded
}

impl ActiveRequest {
    /// Whether a caller's stream may begin or go on with the body that a peer passes on. Another
    /// process may have the peer's address by now.
    pub(crate) fn is_usable_peer_head(&self, response: &PeerResponse) -> bool {
        let head = self
            .state
            .dialect
            .read_response(&response.parts, &self.call);
        head.id == AnswerId::Own && is_usable(response.parts.status, &head)
    }

    /// Logs a successful response of a peer that [`Self::is_usable_peer_head`] rejects.
    pub(crate) fn reject_peer_head(&self, response: &PeerResponse) {
        let peer = response.peer.to_string();
        self.log_step("answer_spoiled", &peer, "not its own", &[]);
    }

    /// Logs a response that [`is_usable_stream_head`] rejects, and records it against its server.
    pub(crate) fn reject_stream_head(&self, response: &AttemptResponse) {
        let server = response.in_flight.server();
        let status = response.parts.status;
        if status.is_success() {
            self.log_step("answer_spoiled", &server.entry.name, "not its own", &[]);
        } else {
            self.log_step("server_failed", &server.entry.name, status.as_str(), &[]);
        }
        record_server_outcome(
            &self.state,
            server,
            AttemptOutcome::Failed,
            self.state.now(),
        );
    }
}
