//! Claims: write-once records that decide which host may send a non-idempotent call.
//!
//! A claim never expires in favour of another host, so that neither clock skew nor process pauses
//! matter. Only the host whose nonce is in the record may send the call, and only that host may
//! declare that it did not.

use clementinearch_border::{ClaimRecord, ClaimState};

use crate::{names::stable_hash, request_id::RequestId, time::Millis};

/// Largest response body stored with a claim, bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 << 10;

/// What a host that wants to send a call may do, given the record it found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is the host's own: it may send.
    Own,
    /// The owner declared that it sent nothing: the record may be replaced by compare-and-swap.
    Free,
    /// Another host may be sending the call now.
    InProgress,
    /// The call was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The call got a response.
    Answered,
    /// The id was used for a different call.
    OtherCall,
}

/// Returns the store key of a call's claim.
pub fn claim_key(account: &str, id: &RequestId) -> String {
    format!("claim/{:016x}/{}", stable_hash(&[account]), id.simple())
}

/// Creates a claim in state `Claimed`.
pub fn new_claim(nonce: String, owner: String, body_digest: String, now: Millis) -> ClaimRecord {
    ClaimRecord {
        nonce,
        owner,
        body_digest,
        state: ClaimState::Claimed,
        at_ms: now.0,
        status: None,
        answer: None,
    }
}

/// Compares the record found in the store with the claim that a host wants to write.
pub fn decide(found: &ClaimRecord, wanted: &ClaimRecord) -> ClaimDecision {
    if found.body_digest != wanted.body_digest {
        return ClaimDecision::OtherCall;
    }
    match found.state {
        ClaimState::Claimed if found.nonce == wanted.nonce => ClaimDecision::Own,
        ClaimState::Claimed => ClaimDecision::InProgress,
        ClaimState::Released => ClaimDecision::Free,
        ClaimState::Unknown => ClaimDecision::OutcomeUnknown,
        ClaimState::Done => ClaimDecision::Answered,
    }
}

/// Returns the record for a completed call, without the response body if it exceeds
/// [`MAX_STORED_RESPONSE_BYTES`].
pub fn completed_claim(
    claim: &ClaimRecord,
    status: u16,
    answer: &[u8],
    now: Millis,
) -> ClaimRecord {
    let stored = (answer.len() <= MAX_STORED_RESPONSE_BYTES)
        .then(|| String::from_utf8_lossy(answer).into_owned());
    ClaimRecord {
        state: ClaimState::Done,
        status: Some(status),
        answer: stored,
        at_ms: now.0,
        ..claim.clone()
    }
}

/// Returns the record in another state; the stored response, if any, is unchanged.
pub fn claim_with_state(claim: &ClaimRecord, state: ClaimState, now: Millis) -> ClaimRecord {
    ClaimRecord {
        state,
        at_ms: now.0,
        ..claim.clone()
    }
}
