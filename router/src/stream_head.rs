//! What the head of a response must show before its events reach the caller.

use clementinearch_policy::server_health::AttemptOutcome;

use crate::{
    active_request::ActiveRequest, attempt::AttemptResponse, health_tracking::record_server_outcome,
};

/// Whether a caller's stream may begin or go on with the body of this response. The status alone
/// does not show that the bytes are the server's own.
pub(crate) fn is_usable_stream_head(response: &AttemptResponse) -> bool {
    response.parts.status.is_success() && response.head.is_signed && !response.head.is_encoded
}

impl ActiveRequest {
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
