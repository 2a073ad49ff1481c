//! Moving averages by route or service, and model size.

use clementinearch_policy::names::{FastMap, Name};
use parking_lot::Mutex;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    /// Number of values so far.
    count: u64,
}

/// Moving averages by the name of a route or service, and model size.
#[derive(Debug)]
pub(crate) struct MovingAverages {
    /// Weight of the latest value, once there are as many values as that takes.
    weight: f64,
    averages: Mutex<FastMap<(Name, usize), Average>>,
}

impl MovingAverages {
    /// Starts without values; an average follows the latest `1 / weight` of them.
    pub(crate) fn with_weight(weight: f64) -> Self {
        Self {
            weight,
            averages: Mutex::default(),
        }
    }

    /// Returns the average for one model size; none before the first value.
    pub(crate) fn get(&self, name: &Name, size: usize) -> Option<f64> {
        let averages = self.averages.lock();
        let average = averages.get(&(name.clone(), size));
        average.map(|average| average.value)
    }

    /// Number of values so far for one model size.
    pub(crate) fn count(&self, name: &Name, size: usize) -> u64 {
        let averages = self.averages.lock();
        let average = averages.get(&(name.clone(), size));
        average.map_or(0, |average| average.count)
    }

    /// Returns the largest average over the model sizes; zero before the first value.
    pub(crate) fn largest(&self, name: &str) -> f64 {
        let averages = self.averages.lock();
        let of_name = averages.iter().filter(|((key, _), _)| **key == *name);
        of_name.map(|(_, it)| it.value).fold(0.0, f64::max)
    }

    /// Adds a value for one model size.
    pub(crate) fn record(&self, name: &Name, size: usize, value: f64) {
        let mut averages = self.averages.lock();
        let average = averages.entry((name.clone(), size)).or_default();
        average.count += 1;
        let weight = self.weight.max(1.0 / average.count as f64);
        average.value += weight * (value - average.value);
    }
}
