//! Claims in the platform's store: taken before the first byte is sent, settled afterwards.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_platform::{Purpose, PutOutcome, Store, StoreError, Versioned};
use clementinearch_policy::{
    claim::{ClaimVerdict, judge, with_state},
    request_id::RETENTION,
};
use hyper::StatusCode;

use crate::{clock, refusal::Refusal};

/// Rounds of writing and reading back before a claim is given up.
const MAX_ROUNDS: u32 = 4;

/// When to come back while the store is out of reach.
const STORE_RETRY: Duration = Duration::from_secs(5);

/// When to come back while another host may be sending.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(2);

/// Pause between attempts to settle a claim while the store is out of reach.
const SETTLE_PAUSE: Duration = Duration::from_secs(2);

/// Attempts to settle a claim: hours of an outage.
const SETTLE_ATTEMPTS: u32 = 7200;

/// Time for which a claim is kept: as long as its id is recognised, and as long again for clocks that differ.
const CLAIM_LIFETIME: Duration = RETENTION.saturating_mul(2);

/// A claim that this host holds.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: String,
    record: ClaimRecord,
}

/// Outcome of taking a claim.
#[derive(Debug)]
pub(crate) enum Taken {
    /// This host may send.
    Own(Claim),
    /// The call was answered before.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// The answer; absent if it was too large to keep.
        answer: Option<String>,
    },
}

/// Claims of one host.
#[derive(Clone)]
pub(crate) struct Claims {
    store: Arc<dyn Store>,
}

impl Claims {
    /// Claims kept in `store`.
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Takes the claim, or says why this call is not sent.
    pub(crate) async fn take(&self, key: String, wanted: ClaimRecord) -> Result<Taken, Refusal> {
        let claims = self.clone();
        let taking = tokio::task::spawn_blocking(move || claims.take_blocking(key, wanted));
        taking
            .await
            .unwrap_or_else(|e| Err(store_refusal(&e.to_string())))
    }

    fn take_blocking(&self, key: String, wanted: ClaimRecord) -> Result<Taken, Refusal> {
        let mut expected = 0;
        let mut may_be_written = false;
        let mut last_error = String::new();
        for _ in 0..MAX_ROUNDS {
            let found = match self.put(&key, expected, &wanted) {
                Ok(PutOutcome::Written { .. }) => {
                    return Ok(Taken::Own(Claim {
                        key,
                        record: wanted,
                    }));
                }
                Ok(PutOutcome::Conflict(found)) => found,
                Err(e) => {
                    may_be_written |= matches!(e, StoreError::Unknown { .. });
                    last_error = e.to_string();
                    // Reading back tells whether the write took effect.
                    match self.store.get(&key, Purpose::Claim) {
                        Ok(found) => found,
                        Err(_) => continue,
                    }
                }
            };
            expected = found.as_ref().map_or(0, |found| found.version);
            let Some(found) = found else { continue };
            if let Some(outcome) = settle_found(&key, &found, &wanted) {
                return outcome;
            }
        }
        if may_be_written {
            self.release_later(Claim {
                key,
                record: wanted,
            });
        }
        Err(store_refusal(&last_error))
    }

    fn put(
        &self,
        key: &str,
        expected: u64,
        record: &ClaimRecord,
    ) -> Result<PutOutcome, StoreError> {
        let value = serde_json::to_string(record).map_err(|e| StoreError::Refused {
            reason: e.to_string(),
        })?;
        self.store
            .put(key, expected, &value, Some(CLAIM_LIFETIME), Purpose::Claim)
    }

    /// Writes the claim's last state. The first attempt is waited for; further ones go on behind.
    pub(crate) async fn settle(&self, claim: Claim, record: ClaimRecord) {
        let claims = self.clone();
        let settling = tokio::task::spawn_blocking(move || {
            if !claims.try_settle(&claim, &record) {
                claims.settle_later(claim, record);
            }
        });
        let _ = settling.await;
    }

    /// Gives back a claim under which no byte was sent.
    pub(crate) async fn release(&self, claim: Claim) {
        let record = with_state(&claim.record, ClaimState::Released, clock::now());
        self.settle(claim, record).await;
    }

    fn release_later(&self, claim: Claim) {
        let record = with_state(&claim.record, ClaimState::Released, clock::now());
        self.settle_later(claim, record);
    }

    fn settle_later(&self, claim: Claim, record: ClaimRecord) {
        let claims = self.clone();
        metrics::counter!("clementinearch_claims_settled_late_total").increment(1);
        tokio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS {
                tokio::time::sleep(SETTLE_PAUSE).await;
                let (claims, claim, record) = (claims.clone(), claim.clone(), record.clone());
                let attempt =
                    tokio::task::spawn_blocking(move || claims.try_settle(&claim, &record));
                if attempt.await.unwrap_or(true) {
                    return;
                }
            }
        });
    }

    /// Returns whether nothing is left to do.
    fn try_settle(&self, claim: &Claim, record: &ClaimRecord) -> bool {
        let Ok(found) = self.store.get(&claim.key, Purpose::Claim) else {
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
            self.put(&claim.key, found.version, record),
            Ok(PutOutcome::Written { .. })
        )
    }
}

/// What a record in the store means for the host that wants to send; absent if it should write again.
fn settle_found(
    key: &str,
    found: &Versioned,
    wanted: &ClaimRecord,
) -> Option<Result<Taken, Refusal>> {
    let Ok(record) = serde_json::from_str::<ClaimRecord>(&found.value) else {
        let message = "the claim in the store cannot be read";
        return Some(Err(Refusal::may_have_run(
            StatusCode::CONFLICT,
            "claim_unreadable",
            message,
        )));
    };
    let outcome = match judge(&record, wanted) {
        ClaimVerdict::Own => Ok(Taken::Own(Claim {
            key: key.to_owned(),
            record: wanted.clone(),
        })),
        ClaimVerdict::Free => return None,
        ClaimVerdict::Answered => Ok(Taken::Answered {
            status: record.status.unwrap_or(200),
            answer: record.answer,
        }),
        ClaimVerdict::InProgress => {
            let message = "a call with this id may be running at another host";
            let refusal = Refusal::may_have_run(StatusCode::CONFLICT, "in_progress", message);
            Err(refusal.with_retry_after(IN_PROGRESS_RETRY))
        }
        ClaimVerdict::OutcomeUnknown => {
            let message = "a call with this id was sent and its outcome is not known; read its status instead";
            Err(Refusal::may_have_run(
                StatusCode::CONFLICT,
                "outcome_unknown",
                message,
            ))
        }
        ClaimVerdict::OtherCall => {
            let message = "this id was used for another call";
            Err(Refusal::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "id_reused",
                message,
            ))
        }
    };
    Some(outcome)
}

fn store_refusal(reason: &str) -> Refusal {
    let message =
        format!("the store that decides whether the call may run gave no answer: {reason}");
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        message,
    );
    refusal.with_retry_after(STORE_RETRY)
}

impl Claim {
    /// The record as it was claimed.
    pub(crate) fn record(&self) -> &ClaimRecord {
        &self.record
    }
}
