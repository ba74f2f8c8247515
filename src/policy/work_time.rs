//! How long work takes at this moment on the machine of a server, which shares it with others.
//!
//! Load: servers of one speed differ several times over from moment to moment, since the other users
//! of their machines come and go many times a second. A mean speed sends such a server as much as
//! before while it is slow. Servers state a ratio in their responses, 1.0 being the usual time; a
//! daemon meets a given server seldom, so most figures are old when they are needed.
//!
//! An old figure is worth the measured correlation of two figures of one server at that distance:
//! nearly all of its deviation from the server's mean at first, and nothing once the load of the
//! machine has changed. A figure also counts backwards, for the time in which a response was made.

use std::{
    ops::RangeInclusive,
    time::{Duration, Instant},
};

/// Range of a ratio that is believed. A wrong figure makes a server neither unusable nor free.
const RATIO_LIMITS: RangeInclusive<f64> = 0.125..=8.0;

/// A server that has stated no ratio for this long counts as one on a machine of its own.
const MAX_FIGURE_AGE: Duration = Duration::from_secs(30);

/// Number of independent figures that the usual time counts as in a server's mean.
const USUAL_WEIGHT: f64 = 4.0;

/// Maximum number of independent figures in a server's mean, so that it follows a change.
const MAX_MEAN_WEIGHT: f64 = 64.0;

/// Upper ends of the ranges of age in which the correlation is measured, in seconds. Older figures
/// are worth nothing.
const AGE_LIMITS: [f64; 7] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/// Time for which a figure is assumed to hold before any measurement, in seconds.
const ASSUMED_HOLD: f64 = 0.6;

/// Sum of squared deviations at which the measured and the assumed correlation have the same
/// weight: that of a dozen pairs of figures that deviate by a fifth.
const ASSUMED_SQUARES: f64 = 0.5;

/// Sum of squared deviations from which older pairs of figures are discounted.
const MAX_SQUARES: f64 = 50.0;

/// Sums over pairs of successive figures whose distance is in one range.
#[derive(Clone, Copy, Debug, Default)]
struct PairSums {
    /// Products of the two deviations from the server's mean.
    products: f64,
    /// Mean squares of the two deviations; at most [`MAX_SQUARES`] and one pair.
    squares: f64,
}

/// The measured correlation of two figures of one server by their distance in time.
#[derive(Clone, Debug)]
pub struct FigureDecay {
    sums: [PairSums; AGE_LIMITS.len()],
    /// Correlation in the middle of each range, from 0 to 1, never rising.
    curve: [f64; AGE_LIMITS.len()],
}

impl Default for FigureDecay {
    fn default() -> Self {
        let mut decay = FigureDecay {
            sums: [PairSums::default(); AGE_LIMITS.len()],
            curve: [0.0; AGE_LIMITS.len()],
        };
        decay.update_curve();
        decay
    }
}

impl FigureDecay {
    /// Returns the worth of a figure of this age, from 1 (certain) to 0 (none).
    pub fn worth(&self, age: Duration) -> f64 {
        let age = age.as_secs_f64();
        let (mut before, mut worth_before) = (0.0, 1.0);
        for (range, worth) in self.curve.into_iter().enumerate() {
            let middle = range_middle(range);
            if age <= middle {
                return worth_before + (worth - worth_before) * (age - before) / (middle - before);
            }
            (before, worth_before) = (middle, worth);
        }
        0.0
    }

    /// Records two successive deviations of one server from its mean.
    fn record_pair(&mut self, age: Duration, first: f64, second: f64) {
        let range = AGE_LIMITS.partition_point(|limit| *limit < age.as_secs_f64());
        let Some(sums) = self.sums.get_mut(range) else { return };
        if sums.squares > MAX_SQUARES {
            sums.products /= 2.0;
            sums.squares /= 2.0;
        }
        sums.products += first * second;
        sums.squares += (first * first + second * second) / 2.0;
        self.update_curve();
    }

    fn update_curve(&mut self) {
        let mut highest: f64 = 1.0;
        for (range, sums) in self.sums.iter().enumerate() {
            let assumed = (1.0 - range_middle(range) / ASSUMED_HOLD).max(0.0);
            let products = sums.products + assumed * ASSUMED_SQUARES;
            highest = (products / (sums.squares + ASSUMED_SQUARES)).clamp(0.0, highest);
            self.curve[range] = highest;
        }
    }
}

fn range_middle(range: usize) -> f64 {
    let lower = if range == 0 { 0.0 } else { AGE_LIMITS[range - 1] };
    (lower + AGE_LIMITS[range]) / 2.0
}

/// What one server has stated.
#[derive(Clone, Debug)]
pub struct WorkTimeRecord {
    /// The latest figure, within [`RATIO_LIMITS`], and when it was received.
    latest: Option<(Instant, f64)>,
    /// Mean of the figures, the usual time included; within [`RATIO_LIMITS`].
    mean: f64,
    /// Number of independent figures in the mean; at most [`MAX_MEAN_WEIGHT`].
    weight: f64,
}

impl Default for WorkTimeRecord {
    fn default() -> Self {
        WorkTimeRecord { latest: None, mean: 1.0, weight: USUAL_WEIGHT }
    }
}

impl WorkTimeRecord {
    /// Records a figure. Figures that are not positive and finite are ignored.
    pub fn record(&mut self, now: Instant, ratio: f64, decay: &mut FigureDecay) {
        if !ratio.is_normal() || ratio < 0.0 {
            return;
        }
        let ratio = ratio.clamp(*RATIO_LIMITS.start(), *RATIO_LIMITS.end());
        let before = self.latest.replace((now, ratio));
        let news = before.map_or(1.0, |(at, figure)| {
            let age = now.saturating_duration_since(at);
            decay.record_pair(age, figure - self.mean, ratio - self.mean);
            1.0 - decay.worth(age)
        });
        self.weight = (self.weight + news).min(MAX_MEAN_WEIGHT);
        self.mean += (ratio - self.mean) * news / self.weight;
    }

    /// Whether the server says how long work takes.
    pub fn is_stated(&self, now: Instant) -> bool {
        self.latest.is_some_and(|(at, _)| now.saturating_duration_since(at) < MAX_FIGURE_AGE)
    }

    /// Returns the ratio expected for work of this usual length that begins now; `None` if the
    /// server states none. It is the ratio in the middle of the work.
    pub fn expected(&self, now: Instant, length: Duration, decay: &FigureDecay) -> Option<f64> {
        self.ratio_beyond(now, length / 2, decay)
    }

    /// Returns the ratio at which a response was made that has just arrived after `taken`; `None`
    /// if the server states none.
    pub fn held(&self, now: Instant, taken: Duration, decay: &FigureDecay) -> Option<f64> {
        self.ratio_beyond(now, taken / 2, decay)
    }

    fn ratio_beyond(&self, now: Instant, distance: Duration, decay: &FigureDecay) -> Option<f64> {
        let (at, ratio) = self.latest.filter(|_| self.is_stated(now))?;
        let worth = decay.worth(now.saturating_duration_since(at) + distance);
        Some(self.mean + (ratio - self.mean) * worth)
    }
}
