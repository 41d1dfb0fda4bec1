//! Model of a backend server: the shipping admission in front of an engine. If more requests run
//! than the engine has places, they share its speed.

use std::collections::VecDeque;
use std::time::Duration;

use flamingowheel_policy::admission::{Admission, AdmissionConfig};
use flamingowheel_policy::load::Load;

/// Remaining work below this counts as done, so that rounding errors can't cause an endless loop of
/// events.
const DONE_TOLERANCE: Duration = Duration::from_nanos(100);

#[derive(Clone, Copy)]
pub struct RunningRequest {
    pub id: usize,
    pub remaining: Duration,
    pub to_first_token: Duration,
}

pub struct Server {
    pub admission: Admission<usize>,
    pub generation: u64,
    pub down: bool,
    config: AdmissionConfig,
    running: Vec<RunningRequest>,
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

    pub fn start(&mut self, request: RunningRequest) {
        self.running.push(request);
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
        for request in &mut self.running {
            request.remaining = request.remaining.saturating_sub(done);
            let had_no_token = !request.to_first_token.is_zero();
            request.to_first_token = request.to_first_token.saturating_sub(done);
            if had_no_token && request.to_first_token <= DONE_TOLERANCE {
                request.to_first_token = Duration::ZERO;
                self.first_tokens.push(request.id);
            }
        }
    }

    /// Time until the next first token or end of a request, at the current speed.
    pub fn next_event(&mut self) -> Option<(Duration, u64)> {
        self.generation += 1;
        let next = self.running.iter().map(|request| match request.to_first_token.is_zero() {
            true => request.remaining,
            false => request.to_first_token,
        });
        let speed = self.speed();
        next.min().map(|remaining| (remaining.div_f64(speed) + DONE_TOLERANCE, self.generation))
    }

    pub fn drain_first_tokens(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.first_tokens)
    }

    pub fn drain_finished(&mut self) -> Vec<usize> {
        let mut finished = Vec::new();
        self.running.retain(|request| {
            let is_done = request.remaining <= DONE_TOLERANCE;
            if is_done {
                finished.push(request.id);
            }
            !is_done
        });
        finished
    }

    /// Stores the current load and returns the newest one that is at least `lag` old.
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

    /// Drops all requests; returns the running and the waiting ones.
    pub fn crash(&mut self) -> (Vec<usize>, Vec<usize>) {
        self.down = true;
        self.generation += 1;
        let running = self.running.drain(..).map(|request| request.id).collect();
        let waiting = self.admission.expire(Duration::MAX);
        self.first_tokens.clear();
        self.admission = Admission::new(self.config);
        (running, waiting)
    }
}
