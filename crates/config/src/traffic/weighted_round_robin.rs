//! Distributes the requests of a split route by weight.

use mux_model::ServiceName;

use super::WeightedService;

/// Distributes requests over the services of one split in proportion to their weights.
///
/// Uses smooth weighted round-robin: each request goes to the service that is furthest behind its
/// share. A random choice would deviate from the weights over short periods by more than operators
/// tolerate. Nodes start at different offsets, as otherwise the first request of every node would
/// go to the same service.
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    parts: Vec<WeightedService>,
    current_weights: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Creates the round-robin; `offset`, 0 to 1, is a position in the shares laid end to end and
    /// selects the service that starts ahead of the others.
    pub fn new(parts: &[WeightedService], offset: f64) -> Self {
        let total: f64 = parts.iter().map(|it| it.weight).sum();
        let mut remaining_offset = offset * total;
        let mut current_weights = Vec::with_capacity(parts.len());
        for part in parts {
            // The service whose share contains the offset starts with its weight in advance.
            let is_first = 0.0 <= remaining_offset && remaining_offset < part.weight;
            current_weights.push(if is_first { part.weight } else { 0.0 });
            remaining_offset -= part.weight;
        }
        Self { parts: parts.to_vec(), current_weights }
    }

    /// Returns whether the round-robin was created for `parts`.
    pub fn is_for(&self, parts: &[WeightedService]) -> bool {
        self.parts == parts
    }

    /// Returns the service for the next request; `None` if no weight is positive.
    pub fn choose(&mut self) -> Option<&ServiceName> {
        let total: f64 = self.parts.iter().map(|it| it.weight).sum();
        let mut selected: Option<usize> = None;
        for (idx, part) in self.parts.iter().enumerate() {
            self.current_weights[idx] += part.weight;
            let is_better =
                selected.is_none_or(|it| self.current_weights[it] < self.current_weights[idx]);
            if 0.0 < part.weight && is_better {
                selected = Some(idx);
            }
        }
        let selected = selected?;
        self.current_weights[selected] -= total;
        Some(&self.parts[selected].service)
    }
}
