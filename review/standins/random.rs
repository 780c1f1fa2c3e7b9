//! A small pseudo-random generator (xorshift64*), seeded by the case.

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a whole number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.fraction() * bound as f64) as usize).min(bound.saturating_sub(1))
    }
}
