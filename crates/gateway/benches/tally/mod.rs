//! Counts and rows of the urgency bench.

/// Places of one workspace at one entry, by a fixed rate.
#[derive(Clone, Copy, Default)]
pub(crate) struct Quota {
    pub(crate) places: f64,
    pub(crate) at_ms: f64,
}

impl Quota {
    pub(crate) fn has_place(&mut self, per_s: f64, now_ms: f64) -> bool {
        self.places = (self.places + (now_ms - self.at_ms) * per_s / 1_000.0).min(2.0);
        self.at_ms = now_ms;
        self.places >= 1.0
    }
}

#[derive(Clone, Default)]
pub(crate) struct Tally {
    pub(crate) asked: f64,
    pub(crate) served: f64,
    pub(crate) in_goal: f64,
}

impl Tally {
    pub(crate) fn served(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }

    pub(crate) fn in_goal(&self) -> f64 {
        self.in_goal / self.asked.max(1.0)
    }
}

pub(crate) struct Row {
    pub(crate) name: String,
    pub(crate) value: f64,
    pub(crate) bound: f64,
    pub(crate) is_most: bool,
}

impl Row {
    pub(crate) fn is_met(&self) -> bool {
        if self.is_most { self.value <= self.bound } else { self.value >= self.bound }
    }
}
