//! A backend server of the model: the shipping admission before an engine whose places share its
//! speed once more requests run than it has places.

use std::collections::VecDeque;
use std::time::Duration;

use flamingowheel_policy::admission::{Admission, AdmissionConfig};
use flamingowheel_policy::load::Load;

/// Work below this counts as done, so that rounding can't schedule events for ever.
const DONE: Duration = Duration::from_nanos(100);

#[derive(Clone, Copy)]
pub struct Started {
    pub id: usize,
    pub left: Duration,
    pub to_first_token: Duration,
}

pub struct Server {
    pub admission: Admission<usize>,
    pub generation: u64,
    pub down: bool,
    config: AdmissionConfig,
    running: Vec<Started>,
    first_tokens: Vec<usize>,
    updated: Duration,
    reports: VecDeque<(Load, Duration)>,
}

impl Server {
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            admission: Admission::new(config),
            generation: 0,
            down: false,
            config,
            running: Vec::new(),
            first_tokens: Vec::new(),
            updated: Duration::ZERO,
            reports: VecDeque::new(),
        }
    }

    pub fn start(&mut self, started: Started) {
        self.running.push(started);
    }

    pub fn load(&self) -> Load {
        let load = self.admission.load();
        if self.down { Load { places: 0, ..load } } else { load }
    }

    fn speed(&self) -> f64 {
        (f64::from(self.config.places) / self.running.len().max(1) as f64).min(1.0)
    }

    pub fn advance(&mut self, now: Duration) {
        let done = (now - self.updated).mul_f64(self.speed());
        self.updated = now;
        for started in &mut self.running {
            started.left = started.left.saturating_sub(done);
            let had_none = !started.to_first_token.is_zero();
            started.to_first_token = started.to_first_token.saturating_sub(done);
            if had_none && started.to_first_token <= DONE {
                started.to_first_token = Duration::ZERO;
                self.first_tokens.push(started.id);
            }
        }
    }

    /// Time to the next first token or end, at the speed of now.
    pub fn next_event(&mut self) -> Option<(Duration, u64)> {
        self.generation += 1;
        let next = self.running.iter().map(|started| match started.to_first_token.is_zero() {
            true => started.left,
            false => started.to_first_token,
        });
        let speed = self.speed();
        next.min().map(|left| (left.div_f64(speed) + DONE, self.generation))
    }

    pub fn take_first_tokens(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.first_tokens)
    }

    pub fn take_finished(&mut self) -> Vec<usize> {
        let mut finished = Vec::new();
        self.running.retain(|started| {
            let is_done = started.left <= DONE;
            if is_done {
                finished.push(started.id);
            }
            !is_done
        });
        finished
    }

    /// Stores the load of now and returns the newest one that is at least `lag` old.
    pub fn delayed_report(&mut self, lag: Duration, now: Duration) -> Option<(Load, Duration)> {
        self.reports.push_back((self.load(), now));
        let mut newest = None;
        while self.reports.front().is_some_and(|(_, at)| *at + lag <= now) {
            newest = self.reports.pop_front();
        }
        newest
    }

    pub fn expire(&mut self, now: Duration) -> Vec<usize> {
        self.admission.expire(now)
    }

    /// Loses everything; returns what ran and what waited.
    pub fn crash(&mut self) -> (Vec<usize>, Vec<usize>) {
        self.down = true;
        self.generation += 1;
        let running = self.running.drain(..).map(|started| started.id).collect();
        let waiting = self.admission.expire(Duration::MAX);
        self.first_tokens.clear();
        self.admission = Admission::new(self.config);
        (running, waiting)
    }
}
