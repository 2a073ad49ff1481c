//! Claims on calls that must run at most once. A claim is acquired before the first byte is sent to a
//! server, and settled once the outcome is known.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_policy::claim::claim_with_state;
use clementinearch_storage::{Claim, ClaimError, ClaimOutcome, Store, acquire_claim, settle_claim};
use hyper::StatusCode;

use crate::{clock, refusal::Refusal};

/// Retry delay for callers whose claim could not be written.
const STORE_RETRY: Duration = Duration::from_secs(5);

/// Time between attempts to settle a claim while the store is unreachable.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Most attempts to settle a claim in the background: enough for an outage of four hours.
const SETTLE_ATTEMPTS: u32 = 7200;

/// Client for the claims in the store.
#[derive(Clone)]
pub(crate) struct Claims {
    store: Arc<dyn Store>,
}

impl Claims {
    /// Creates a client for the claims in `store`.
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Tries to write the claim `wanted` under `key`. If an unsuccessful write may have left the
    /// claim behind, it is released in the background.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 503 if the store gives no usable response.
    pub(crate) async fn acquire(
        &self,
        key: String,
        wanted: ClaimRecord,
    ) -> Result<ClaimOutcome, Refusal> {
        let store = self.store.clone();
        let taking = tokio::task::spawn_blocking(move || acquire_claim(&*store, &key, &wanted));
        match taking.await {
            Ok(Ok(taken)) => Ok(taken),
            Ok(Err(ClaimError { error, unconfirmed })) => {
                if let Some(claim) = unconfirmed {
                    let record = released_record(&claim);
                    self.settle_in_background(*claim, record);
                }
                Err(store_unavailable(&error.to_string()))
            }
            Err(e) => Err(store_unavailable(&e.to_string())),
        }
    }

    /// Writes the claim's final state. Waits for the first attempt only; if it fails, further ones
    /// are made in the background.
    pub(crate) async fn settle(&self, claim: Claim, record: ClaimRecord) {
        if !self.try_settle(&claim, &record).await {
            self.settle_in_background(claim, record);
        }
    }

    /// Releases a claim under which no byte was sent, so that another host may acquire it.
    pub(crate) async fn release(&self, claim: Claim) {
        let record = released_record(&claim);
        self.settle(claim, record).await;
    }

    fn settle_in_background(&self, claim: Claim, record: ClaimRecord) {
        let claims = self.clone();
        metrics::counter!("clementinearch_claims_settled_late_total").increment(1);
        tokio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS {
                tokio::time::sleep(SETTLE_RETRY_INTERVAL).await;
                if claims.try_settle(&claim, &record).await {
                    return;
                }
            }
        });
    }

    /// Makes one attempt to settle a claim. Returns whether it needs no further attempt.
    async fn try_settle(&self, claim: &Claim, record: &ClaimRecord) -> bool {
        let (store, claim, record) = (self.store.clone(), claim.clone(), record.clone());
        let settling = tokio::task::spawn_blocking(move || settle_claim(&*store, &claim, &record));
        settling.await.unwrap_or(true)
    }
}

fn released_record(claim: &Claim) -> ClaimRecord {
    claim_with_state(claim.record(), ClaimState::Released, clock::now())
}

fn store_unavailable(reason: &str) -> Refusal {
    let message = format!("the call was not sent because its claim could not be written: {reason}");
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        message,
    );
    refusal.with_retry_after(STORE_RETRY)
}
