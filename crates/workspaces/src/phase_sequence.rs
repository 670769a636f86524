//! The phases of the grants of one node.

/// A sequence of numbers that looks random, and differs between nodes with different seeds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PhaseSequence {
    pub(crate) state: u64,
}

impl PhaseSequence {
    /// Returns the next number, from 0 to 1 (SplitMix64).
    pub(crate) fn next_phase(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
