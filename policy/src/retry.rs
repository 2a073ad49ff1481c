//! The retry budget: further attempts stay a small part of first ones.

/// Further attempts that each first attempt earns.
const EARNED_PER_FIRST: f64 = 0.1;

/// Further attempts that can be saved up.
const SAVED_AT_MOST: f64 = 10.0;

/// Budget of further attempts on one host.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: SAVED_AT_MOST,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_FIRST).min(SAVED_AT_MOST);
    }

    /// Takes one further attempt if the budget has it.
    pub fn spend(&mut self) -> bool {
        let can_spend = self.saved >= 1.0;
        if can_spend {
            self.saved -= 1.0;
        }
        can_spend
    }
}
