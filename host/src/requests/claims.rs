//! Claims of this host: taken before the first byte is sent, settled afterwards.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{ClaimRecord, ClaimState};
use clementinearch_policy::claim::claim_with_state;
use clementinearch_storage::{Claim, ClaimError, ClaimOutcome, Store, acquire_claim, settle_claim};
use hyper::StatusCode;

use crate::{clock, refusal::Refusal};

/// When to come back while the store is out of reach.
const STORE_RETRY: Duration = Duration::from_secs(5);

/// Pause between attempts to settle a claim while the store is out of reach.
const SETTLE_PAUSE: Duration = Duration::from_secs(2);

/// Attempts to settle a claim: hours of an outage.
const SETTLE_ATTEMPTS: u32 = 7200;

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
    pub(crate) async fn take(
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
                    let record = released(&claim);
                    self.settle_later(*claim, record);
                }
                Err(store_refusal(&error.to_string()))
            }
            Err(e) => Err(store_refusal(&e.to_string())),
        }
    }

    /// Writes the claim's last state. The first attempt is waited for; further ones go on behind.
    pub(crate) async fn settle(&self, claim: Claim, record: ClaimRecord) {
        if !self.try_settle(&claim, &record).await {
            self.settle_later(claim, record);
        }
    }

    /// Gives back a claim under which no byte was sent.
    pub(crate) async fn release(&self, claim: Claim) {
        let record = released(&claim);
        self.settle(claim, record).await;
    }

    fn settle_later(&self, claim: Claim, record: ClaimRecord) {
        let claims = self.clone();
        metrics::counter!("clementinearch_claims_settled_late_total").increment(1);
        tokio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS {
                tokio::time::sleep(SETTLE_PAUSE).await;
                if claims.try_settle(&claim, &record).await {
                    return;
                }
            }
        });
    }

    async fn try_settle(&self, claim: &Claim, record: &ClaimRecord) -> bool {
        let (store, claim, record) = (self.store.clone(), claim.clone(), record.clone());
        let settling = tokio::task::spawn_blocking(move || settle_claim(&*store, &claim, &record));
        settling.await.unwrap_or(true)
    }
}

fn released(claim: &Claim) -> ClaimRecord {
    claim_with_state(claim.record(), ClaimState::Released, clock::now())
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
