//! Divides a route's requests over its services by weight.
//!
//! Smooth weighted round robin: each part gains its weight with every request, and the largest one is
//! taken. Any run of requests comes as close to the weights as whole requests can.

use super::plan::Part;

/// Position in the round of one route.
#[derive(Clone, Debug, Default)]
pub struct Round {
    gained: Vec<f64>,
}

impl Round {
    /// Index of the part that gets the next request.
    pub fn next(&mut self, parts: &[Part]) -> usize {
        if self.gained.len() != parts.len() {
            self.gained = vec![0.0; parts.len()];
        }
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        let mut best = 0;
        for (index, part) in parts.iter().enumerate() {
            self.gained[index] += part.weight.max(0.0);
            if self.gained[index] > self.gained[best] {
                best = index;
            }
        }
        self.gained[best] -= total;
        best
    }
}
