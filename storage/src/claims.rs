//! Acquiring and settling claims: the protocol by which a call runs at most once.

use std::time::Duration;

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_policy::{
    claim::{ClaimDecision, decide},
    request_id::RETENTION,
};

use crate::store::{Purpose, PutOutcome, Store, StoreError, Versioned};

/// Attempts to write and read back a claim before [`acquire_claim`] gives up.
const MAX_ATTEMPTS: u32 = 4;

/// Time to live of a claim: twice the retention of request ids, to allow for clock skew between
/// hosts.
const CLAIM_TTL: Duration = RETENTION.saturating_mul(2);

/// A claim written by this host.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    record: ClaimRecord,
}

impl Claim {
    /// The record as it was first written.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

/// Result of a claim attempt that the store answered.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This host holds the claim and may send the call.
    Acquired(Claim),
    /// The call was completed earlier.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response; `None` if it was too large to store.
        answer: Option<String>,
    },
    /// Another host holds the claim and may be sending the call.
    InProgress,
    /// The call was sent earlier, with an unknown outcome.
    OutcomeUnknown,
    /// The request id belongs to a call with a different method, path or body.
    OtherCall,
    /// The stored value is not a claim record.
    Unreadable,
}

/// Failure to find out whether the claim was acquired.
#[derive(Debug)]
pub struct ClaimError {
    /// Last error of the store; [`StoreError::Unknown`] if every attempt met a conflict.
    pub error: StoreError,
    /// The claim, if it may have been written; the caller should release it later.
    pub unconfirmed: Option<Box<Claim>>,
}

/// Tries to acquire the claim at `key` by writing `wanted` there.
///
/// # Errors
///
/// Returns [`ClaimError`] if the store gave no usable response; the call must not be sent then.
pub fn acquire_claim(
    store: &dyn Store,
    key: &str,
    wanted: &ClaimRecord,
) -> Result<ClaimOutcome, ClaimError> {
    let mut expected = 0;
    let mut may_be_written = false;
    let mut error = StoreError::Unknown {
        reason: "the claim changed between every read and write".to_owned(),
    };
    for _ in 0..MAX_ATTEMPTS {
        let found = match put(store, key, expected, wanted) {
            Ok(PutOutcome::Written { .. }) => {
                return Ok(ClaimOutcome::Acquired(claim_at(key, wanted)));
            }
            Ok(PutOutcome::Conflict(found)) => found,
            Err(e) => {
                may_be_written |= matches!(e, StoreError::Unknown { .. });
                error = e;
                // Reads back whether the write took effect.
                let Ok(found) = store.get(key, Purpose::Claim) else {
                    continue;
                };
                found
            }
        };
        expected = found.as_ref().map_or(0, |found| found.version);
        if let Some(outcome) = found.and_then(|found| evaluate_found(key, &found, wanted)) {
            return Ok(outcome);
        }
    }
    let unconfirmed = may_be_written.then(|| Box::new(claim_at(key, wanted)));
    Err(ClaimError { error, unconfirmed })
}

fn claim_at(key: &str, record: &ClaimRecord) -> Claim {
    Claim {
        key: key.to_owned(),
        record: record.clone(),
    }
}

/// Evaluates a value found in the store; returns `None` if the claim is free and should be written
/// again.
fn evaluate_found(key: &str, found: &Versioned, wanted: &ClaimRecord) -> Option<ClaimOutcome> {
    let Ok(record) = serde_json::from_str::<ClaimRecord>(&found.value) else {
        return Some(ClaimOutcome::Unreadable);
    };
    match decide(&record, wanted) {
        ClaimDecision::Own => Some(ClaimOutcome::Acquired(claim_at(key, wanted))),
        ClaimDecision::Free => None,
        ClaimDecision::Answered => Some(ClaimOutcome::Answered {
            status: record.status.unwrap_or(200),
            answer: record.answer,
        }),
        ClaimDecision::InProgress => Some(ClaimOutcome::InProgress),
        ClaimDecision::OutcomeUnknown => Some(ClaimOutcome::OutcomeUnknown),
        ClaimDecision::OtherCall => Some(ClaimOutcome::OtherCall),
    }
}

/// Writes the final state of a claim of this host. Returns `false` if the store failed or the key
/// changed meanwhile, and the caller should try again.
pub fn settle_claim(store: &dyn Store, claim: &Claim, record: &ClaimRecord) -> bool {
    let Ok(found) = store.get(&claim.key, Purpose::Claim) else {
        return false;
    };
    let Some(found) = found else { return true };
    let current = serde_json::from_str::<ClaimRecord>(&found.value).ok();
    let is_own = current.is_some_and(|current| {
        current.nonce == claim.record.nonce && current.state == ClaimState::Claimed
    });
    if !is_own {
        return true;
    }
    matches!(
        put(store, &claim.key, found.version, record),
        Ok(PutOutcome::Written { .. })
    )
}

fn put(
    store: &dyn Store,
    key: &str,
    expected: u64,
    record: &ClaimRecord,
) -> Result<PutOutcome, StoreError> {
    let value = serde_json::to_string(record).map_err(|e| StoreError::Refused {
        reason: e.to_string(),
    })?;
    store.put(key, expected, &value, Some(CLAIM_TTL), Purpose::Claim)
}
