//! Simple baseline policies for comparison with the shipping policy.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[derive(Clone, Copy, Debug)]
pub enum Rule {
    Random,
    LeastByReport,
    BestOf { candidates: usize, own_sends: bool },
}

#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    pub rule: Rule,
    /// The agent refuses requests beyond this queue length; `None` for an unbounded queue.
    pub early_queue: Option<usize>,
    pub max_tries: usize,
}

/// The last report of each server and the number of requests sent since.
#[derive(Clone)]
pub struct BaselineLoads {
    reported: Vec<u16>,
    sent_since: Vec<u16>,
}

impl BaselineLoads {
    pub fn new(servers: usize) -> Self {
        Self { reported: vec![0; servers], sent_since: vec![0; servers] }
    }

    pub fn on_report(&mut self, server: usize, occupied: u16) {
        self.reported[server] = occupied;
        self.sent_since[server] = 0;
    }

    pub fn on_sent(&mut self, server: usize) {
        self.sent_since[server] += 1;
    }

    pub fn on_ended(&mut self, server: usize) {
        self.sent_since[server] = self.sent_since[server].saturating_sub(1);
    }

    /// Chooses a server by the baseline's rule; servers in `tried` are not drawn again.
    pub fn choose(&self, baseline: &Baseline, tried: &[usize], rng: &mut ChaCha8Rng) -> usize {
        let servers = self.reported.len();
        let mut draw = || {
            loop {
                let server = rng.random_range(0..servers);
                if !tried.contains(&server) {
                    return server;
                }
            }
        };
        match baseline.rule {
            Rule::Random => draw(),
            Rule::LeastByReport => self.least_loaded(0..servers, false, rng),
            Rule::BestOf { candidates, own_sends } => {
                let drawn: Vec<usize> = (0..candidates).map(|_| draw()).collect();
                self.least_loaded(drawn.into_iter(), own_sends, rng)
            }
        }
    }

    /// The least loaded server; ties are broken at random.
    fn least_loaded<I>(&self, servers: I, own_sends: bool, rng: &mut ChaCha8Rng) -> usize
    where
        I: Iterator<Item = usize>,
    {
        let load = |server: usize| {
            let own = if own_sends { self.sent_since[server] } else { 0 };
            self.reported[server] + own
        };
        servers.min_by_key(|server| (load(*server), rng.random::<u32>())).expect("some server")
    }
}
