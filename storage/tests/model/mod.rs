//! In-memory store for the model checker; each call is a scheduling point and may lose its
//! response.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test file uses only a part of this module"
)]

use std::{
    collections::HashMap,
    panic::{AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use clementinearch_storage::{Purpose, PutOutcome, Store, StoreError, Versioned};
use shuttle::{
    Config, Runner,
    rand::{Rng, thread_rng},
    scheduler::{PctScheduler, RandomScheduler},
    sync::Mutex,
    thread,
};

/// Seed of both schedulers.
const SEED: u64 = 20_261_204;
/// Schedules per check: half from the random scheduler, half from the PCT scheduler.
const SCHEDULES: usize = 20_000;
/// Bug depth of the PCT scheduler.
const PCT_DEPTH: usize = 4;

/// Fault injected into the store to show that the checker detects it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Writes are applied without comparing the version.
    UnconditionalWrite,
    /// A write without effect is confirmed as written.
    FalseSuccess,
}

/// Store shared by the threads of one schedule.
pub struct ModelStore {
    entries: Mutex<HashMap<String, Versioned>>,
    fault: Fault,
}

impl ModelStore {
    pub fn new(fault: Fault) -> Self {
        Self {
            entries: Mutex::new(HashMap::new()),
            fault,
        }
    }

    /// Returns the value of a key, bypassing the injected faults.
    pub fn value(&self, key: &str) -> Option<String> {
        self.entries
            .lock()
            .unwrap()
            .get(key)
            .map(|found| found.value.clone())
    }

    /// Draws whether the response is lost before or after the effect, each for one call in eight.
    fn draw_fault(&self) -> (bool, bool) {
        thread::yield_now();
        let draw = thread_rng().gen_range(0..8);
        (draw == 0, draw == 1)
    }
}

fn lost() -> StoreError {
    StoreError::Unknown {
        reason: "lost".to_owned(),
    }
}

impl Store for ModelStore {
    fn get(&self, key: &str, _: Purpose) -> Result<Option<Versioned>, StoreError> {
        let (lost_before, lost_after) = self.draw_fault();
        if lost_before || lost_after {
            return Err(lost());
        }
        Ok(self.entries.lock().unwrap().get(key).cloned())
    }

    fn watch(
        &self,
        key: &str,
        _: u64,
        _: Duration,
        purpose: Purpose,
    ) -> Result<Option<Versioned>, StoreError> {
        self.get(key, purpose)
    }

    fn put(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        _: Option<Duration>,
        _: Purpose,
    ) -> Result<PutOutcome, StoreError> {
        let (lost_before, lost_after) = self.draw_fault();
        if lost_before {
            if self.fault == Fault::FalseSuccess {
                return Ok(PutOutcome::Written {
                    version: expected + 1,
                });
            }
            return Err(lost());
        }
        let mut entries = self.entries.lock().unwrap();
        let found = entries.get(key).cloned();
        let version = found.as_ref().map_or(0, |found| found.version);
        if version != expected && self.fault != Fault::UnconditionalWrite {
            return Ok(PutOutcome::Conflict(found));
        }
        entries.insert(
            key.to_owned(),
            Versioned {
                version: version + 1,
                value: value.to_owned(),
            },
        );
        drop(entries);
        if lost_after {
            Err(lost())
        } else {
            Ok(PutOutcome::Written {
                version: version + 1,
            })
        }
    }
}

/// Runs `scenario` under many schedules; panics at the first failed assertion.
pub fn check(scenario: impl Fn() + Send + Sync + Copy + 'static) {
    let random = RandomScheduler::new_from_seed(SEED, SCHEDULES / 2);
    Runner::new(random, Config::new()).run(scenario);
    let bounded = PctScheduler::new_from_seed(SEED, PCT_DEPTH, SCHEDULES / 2);
    Runner::new(bounded, Config::new()).run(scenario);
}

/// Returns whether some schedule of `scenario` fails an assertion.
pub fn finds_fault(scenario: impl Fn() + Send + Sync + Copy + 'static) -> bool {
    catch_unwind(AssertUnwindSafe(|| check(scenario))).is_err()
}
