//! Moving averages by route or service, and model size.

use clementinearch_policy::names::{FastMap, Name};
use parking_lot::Mutex;

/// Weight of the latest value in a moving average.
const WEIGHT: f64 = 0.1;

/// Moving averages by the name of a route or service, and model size.
#[derive(Debug, Default)]
pub(crate) struct MovingAverages {
    averages: Mutex<FastMap<(Name, usize), f64>>,
}

impl MovingAverages {
    /// Returns the average for one model size; none before the first value.
    pub(crate) fn get(&self, name: &Name, size: usize) -> Option<f64> {
        let averages = self.averages.lock();
        averages.get(&(name.clone(), size)).copied()
    }

    /// Returns the largest average over the model sizes; zero before the first value.
    pub(crate) fn largest(&self, name: &str) -> f64 {
        let averages = self.averages.lock();
        let of_name = averages.iter().filter(|((key, _), _)| **key == *name);
        of_name.map(|(_, average)| *average).fold(0.0, f64::max)
    }

    /// Adds a value for one model size.
    pub(crate) fn record(&self, name: &Name, size: usize, value: f64) {
        let mut averages = self.averages.lock();
        let average = averages.entry((name.clone(), size)).or_insert(value);
        *average += WEIGHT * (value - *average);
    }
}
