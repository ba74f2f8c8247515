//! Seeded random numbers.

use {
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{ops::Range, time::Duration},
};

/// Seeded generator of the random numbers of loads and faults.
pub struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    /// Creates a generator for one purpose. Its numbers are independent of how many numbers other
    /// purposes use.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let salt = purpose.bytes().fold(0, |salt, byte| mix_hash(salt, u64::from(byte)));
        RandomSource(Xoshiro256PlusPlus::seed_from_u64(mix_hash(seed, salt)))
    }

    /// Returns a uniform number from 0 to 1, excluding 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform integer in `range`.
    pub fn in_range(&mut self, range: Range<u32>) -> u32 {
        range.start + (self.unit() * f64::from(range.end - range.start)) as u32
    }

    /// Returns the time to the next event of a Poisson process with `rate` events per second.
    pub fn exponential_gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() / rate)
    }

    /// Returns a random index with the given weights, which need not sum up to 1.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.unit() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }

    /// Returns the seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }
}

/// Combines `hash` with `value` into the hash of the longer sequence.
pub fn mix_hash(hash: u64, value: u64) -> u64 {
    let mut mixed = hash ^ value.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_add(hash << 6);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
