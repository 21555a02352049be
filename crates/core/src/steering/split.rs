//! Divides a route's requests over its services by weight.
//!
//! Smooth weighted round robin: each part gains its weight with every request, and the largest one is
//! taken. Any run of requests comes as close to the weights as whole requests can.

use super::plan::Destination;

/// Position in the round of one route.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    current_weights: Vec<f64>,
}

impl Balancer {
    /// Index of the part that gets the next request.
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
