//! Moving averages by route and model size.

use clementinearch_policy::names::{FastMap, Name};
use parking_lot::Mutex;

/// Weight of the latest value in a moving average.
const WEIGHT: f64 = 0.1;

/// Moving averages by route and model size.
#[derive(Debug, Default)]
pub(crate) struct RouteMeans {
    means: Mutex<FastMap<(Name, usize), f64>>,
}

impl RouteMeans {
    /// Returns the average for one model size of a route; none before the first value.
    pub(crate) fn get(&self, route: &Name, size: usize) -> Option<f64> {
        let means = self.means.lock();
        means.get(&(route.clone(), size)).copied()
    }

    /// Returns the largest average of a route's model sizes; zero before the first value.
    pub(crate) fn largest(&self, route: &str) -> f64 {
        let means = self.means.lock();
        let of_route = means.iter().filter(|((name, _), _)| **name == *route);
        of_route.map(|(_, mean)| *mean).fold(0.0, f64::max)
    }

    /// Adds a value for one model size of a route.
    pub(crate) fn record(&self, route: &Name, size: usize, value: f64) {
        let mut means = self.means.lock();
        let mean = means.entry((route.clone(), size)).or_insert(value);
        *mean += WEIGHT * (value - *mean);
    }
}
