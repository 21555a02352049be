//! Divides a route's requests over its services by weight.
//!
//! Smooth weighted round robin: with every request, each destination's current weight grows by its
//! configured weight, and the destination with the largest current weight is chosen. Any run of
//! consecutive requests comes as close to the weights as whole requests can.

use super::plan::Destination;

/// Round-robin state of one route.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Current weight of each destination, in the order of the route.
    current_weights: Vec<f64>,
}

impl Balancer {
    /// Returns the index of the destination that gets the next request. The state is reset when
    /// the number of destinations changes.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        if self.current_weights.len() != destinations.len() {
            self.current_weights = vec![0.0; destinations.len()];
        }
        let total: f64 = destinations.iter().map(|destination| destination.weight.max(0.0)).sum();
        let mut chosen = 0;
        for (index, destination) in destinations.iter().enumerate() {
            self.current_weights[index] += destination.weight.max(0.0);
            if self.current_weights[index] > self.current_weights[chosen] {
                chosen = index;
            }
        }
        self.current_weights[chosen] -= total;
        chosen
    }
}
