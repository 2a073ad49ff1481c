//! Takes and settles claims: the protocol that lets a call run at most once.

use std::time::Duration;

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_policy::{
    claim::{ClaimDecision, decide},
    request_id::RETENTION,
};

use crate::store::{Purpose, PutOutcome, Store, StoreError, Versioned};

/// Rounds of writing and reading back before a claim is given up.
const MAX_ROUNDS: u32 = 4;

/// Time for which a claim is kept: as long as its id is recognised, and as long again for clocks that differ.
const CLAIM_LIFETIME: Duration = RETENTION.saturating_mul(2);

/// A claim that this host holds.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    record: ClaimRecord,
}

impl Claim {
    /// The record as it was claimed.
    pub fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

/// Outcome of an attempt to take a claim that the store answered.
#[derive(Debug)]
pub enum Taken {
    /// This host may send.
    Own(Claim),
    /// The call was answered before.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// The answer; absent if it was too large to keep.
        answer: Option<String>,
    },
    /// Another host may be sending now.
    InProgress,
    /// The call was sent and its outcome is not known.
    OutcomeUnknown,
    /// The id was used for another call.
    OtherCall,
    /// The record cannot be read.
    Unreadable,
}

/// The store did not say whether the claim was taken: the call is not sent.
#[derive(Debug)]
pub struct NotTaken {
    /// The last error.
    pub error: StoreError,
    /// The claim, if it may stand in the store all the same; it should be released later.
    pub left_behind: Option<Box<Claim>>,
}

/// Takes the claim at `key`.
///
/// # Errors
///
/// Returns [`NotTaken`] if the store gave no usable answer. The call must not be sent then.
pub fn take_claim(store: &dyn Store, key: &str, wanted: &ClaimRecord) -> Result<Taken, NotTaken> {
    let mut expected = 0;
    let mut may_be_written = false;
    let mut error = StoreError::Unknown {
        reason: "the claim kept changing".to_owned(),
    };
    for _ in 0..MAX_ROUNDS {
        let found = match put(store, key, expected, wanted) {
            Ok(PutOutcome::Written { .. }) => return Ok(Taken::Own(own(key, wanted))),
            Ok(PutOutcome::Conflict(found)) => found,
            Err(e) => {
                may_be_written |= matches!(e, StoreError::Unknown { .. });
                error = e;
                // Reading back tells whether the write took effect.
                let Ok(found) = store.get(key, Purpose::Claim) else {
                    continue;
                };
                found
            }
        };
        expected = found.as_ref().map_or(0, |found| found.version);
        if let Some(taken) = found.and_then(|found| judge_found(key, &found, wanted)) {
            return Ok(taken);
        }
    }
    let left_behind = may_be_written.then(|| Box::new(own(key, wanted)));
    Err(NotTaken { error, left_behind })
}

fn own(key: &str, record: &ClaimRecord) -> Claim {
    Claim {
        key: key.to_owned(),
        record: record.clone(),
    }
}

/// What a record in the store means for the host that wants to send; absent if it should write again.
fn judge_found(key: &str, found: &Versioned, wanted: &ClaimRecord) -> Option<Taken> {
    let Ok(record) = serde_json::from_str::<ClaimRecord>(&found.value) else {
        return Some(Taken::Unreadable);
    };
    match decide(&record, wanted) {
        ClaimDecision::Own => Some(Taken::Own(own(key, wanted))),
        ClaimDecision::Free => None,
        ClaimDecision::Answered => Some(Taken::Answered {
            status: record.status.unwrap_or(200),
            answer: record.answer,
        }),
        ClaimDecision::InProgress => Some(Taken::InProgress),
        ClaimDecision::OutcomeUnknown => Some(Taken::OutcomeUnknown),
        ClaimDecision::OtherCall => Some(Taken::OtherCall),
    }
}

/// Writes the last state of a claim that this host holds. Returns whether nothing is left to do.
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
    store.put(key, expected, &value, Some(CLAIM_LIFETIME), Purpose::Claim)
}
