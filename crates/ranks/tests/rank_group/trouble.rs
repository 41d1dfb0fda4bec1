//! What becomes of orders, and how old reports are.

use flamingowheel_fleet::engine::MapOrder;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It is not answered and takes effect after a time.
    Unanswered(Duration),
    /// It is answered and takes effect again after a time.
    Doubled(Duration),
    /// It is not answered and takes effect when the test says so.
    Kept,
}

type Script = Box<dyn FnMut(usize, &MapOrder) -> Fate + Send>;

/// Longest time after which an unanswered order takes effect.
const MAX_LATENESS_MS: u64 = 12_000;

enum Source {
    Drawn { rng: Box<ChaCha8Rng>, unanswered: f64 },
    Script(Script),
}

/// The fates of orders, drawn or scripted.
pub struct Trouble {
    source: Source,
    kept: Vec<(u64, usize, MapOrder)>,
    frozen: HashSet<usize>,
}

impl fmt::Debug for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Trouble").field("frozen", &self.frozen).finish_non_exhaustive()
    }
}

impl Trouble {
    /// Leaves a share of the orders unanswered.
    pub fn drawn(seed: u64, unanswered: f64) -> Self {
        let rng = Box::new(ChaCha8Rng::seed_from_u64(seed));
        Self::new(Source::Drawn { rng, unanswered })
    }

    /// Decides by rank and order.
    pub fn scripted<F>(script: F) -> Self
    where
        F: FnMut(usize, &MapOrder) -> Fate + Send + 'static,
    {
        Self::new(Source::Script(Box::new(script)))
    }

    fn new(source: Source) -> Self {
        Self { source, kept: Vec::new(), frozen: HashSet::new() }
    }

    pub fn fate(&mut self, epoch: u64, rank: usize, order: &MapOrder) -> Fate {
        let fate = match &mut self.source {
            Source::Drawn { rng, unanswered } => draw(rng, *unanswered),
            Source::Script(script) => script(rank, order),
        };
        if fate == Fate::Kept {
            self.kept.push((epoch, rank, order.clone()));
        }
        fate
    }

    pub fn report_age(&mut self, max: Duration) -> Duration {
        match &mut self.source {
            Source::Drawn { rng, .. } => max.mul_f64(rng.random_range(0.0..1.0)),
            Source::Script(_) => max / 2,
        }
    }

    pub fn take_kept(&mut self) -> Vec<(u64, usize, MapOrder)> {
        std::mem::take(&mut self.kept)
    }

    pub fn set_frozen(&mut self, rank: usize, is_frozen: bool) {
        if is_frozen {
            self.frozen.insert(rank);
        } else {
            self.frozen.remove(&rank);
        }
    }

    pub fn is_frozen(&self, rank: usize) -> bool {
        self.frozen.contains(&rank)
    }
}

fn draw(rng: &mut ChaCha8Rng, unanswered: f64) -> Fate {
    let lateness = Duration::from_millis(rng.random_range(0..MAX_LATENESS_MS));
    match rng.random_range(0.0..1.0) {
        draw if draw < unanswered / 4.0 => Fate::Unanswered(Duration::ZERO),
        draw if draw < unanswered => Fate::Unanswered(lateness),
        draw if draw < unanswered + 0.05 => Fate::Doubled(lateness),
        _ => Fate::Answered,
    }
}
