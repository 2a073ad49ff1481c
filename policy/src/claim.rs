//! Claims: write-once records that decide which host may send a call that must not be repeated.
//!
//! A claim never lapses to another host, so neither clocks nor pauses matter: only the host whose
//! nonce stands in the record may send, and only that host may say that it did not.

use clementinearch_border::{ClaimRecord, ClaimState};

use crate::{names::stable_hash, request_id::RequestId, time::Millis};

/// Largest answer that a claim keeps, bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;

/// What a host that wants to send may do about the record it found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The record is the host's own: it may send.
    Own,
    /// Its owner knows that nothing was sent: it may be overwritten by compare-and-swap.
    Free,
    /// Another host may be sending now.
    InProgress,
    /// The call was sent and its outcome is not known.
    OutcomeUnknown,
    /// The call was answered.
    Answered,
    /// The id was used for another call.
    OtherCall,
}

/// Store key of the claim of a call.
pub fn claim_key(account: &str, id: &RequestId) -> String {
    format!("claim/{:016x}/{}", stable_hash(&[account]), id.simple())
}

/// A fresh claim.
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

/// Judges a record from the store against the claim that a host tries to write.
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

/// The record after the call was answered.
pub fn completed_claim(
    claim: &ClaimRecord,
    status: u16,
    answer: &[u8],
    now: Millis,
) -> ClaimRecord {
    let kept = (answer.len() <= MAX_STORED_ANSWER_BYTES)
        .then(|| String::from_utf8_lossy(answer).into_owned());
    ClaimRecord {
        state: ClaimState::Done,
        status: Some(status),
        answer: kept,
        at_ms: now.0,
        ..claim.clone()
    }
}

/// The record in another state without an answer.
pub fn claim_with_state(claim: &ClaimRecord, state: ClaimState, now: Millis) -> ClaimRecord {
    ClaimRecord {
        state,
        at_ms: now.0,
        ..claim.clone()
    }
}
