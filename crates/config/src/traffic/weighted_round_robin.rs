//! Divides the requests of a split route by weight.

use mux_model::ServiceName;

use super::WeightedService;

/// Deals requests to the parts of one split in proportion to their weights.
///
/// Each request goes to the part that is furthest behind its share, so that any run of requests
/// is as close to the weights as whole requests allow; a random choice would be off by more than
/// the operators tolerate in a short time. Nodes start at an offset of their own, as otherwise
/// the first request of every node would go to the same part.
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    parts: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Creates a chooser; `offset`, 0 to 1, is where in the cycle it starts.
    pub fn new(parts: &[WeightedService], offset: f64) -> Self {
        let total: f64 = parts.iter().map(|it| it.weight).sum();
        let mut start = offset * total;
        let mut credits = Vec::with_capacity(parts.len());
        for part in parts {
            // The part in whose share the offset lies goes first.
            let is_first = 0.0 <= start && start < part.weight;
            credits.push(if is_first { part.weight } else { 0.0 });
            start -= part.weight;
        }
        Self { parts: parts.to_vec(), credits }
    }

    /// Returns whether the chooser was made for `parts`.
    pub fn is_for(&self, parts: &[WeightedService]) -> bool {
        self.parts == parts
    }

    /// Returns the service for the next request; `None` if no part has a weight.
    pub fn choose(&mut self) -> Option<&ServiceName> {
        let total: f64 = self.parts.iter().map(|it| it.weight).sum();
        let mut best: Option<usize> = None;
        for (idx, part) in self.parts.iter().enumerate() {
            self.credits[idx] += part.weight;
            let is_better = best.is_none_or(|it| self.credits[it] < self.credits[idx]);
            if 0.0 < part.weight && is_better {
                best = Some(idx);
            }
        }
        let best = best?;
        self.credits[best] -= total;
        Some(&self.parts[best].service)
    }
}
