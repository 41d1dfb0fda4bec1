//! Whether a request that failed may be sent again.
//!
//! Without a budget an outage multiplies the load on what is left by the number of tries, and the
//! rest goes down too; one would see tries per request climb while goodput falls. The budget is a
//! token bucket paid by successes, so retries stay a fixed share of what still works.

use std::time::Duration;

use thiserror::Error;

/// Settings of a workspace's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that one success pays for.
    pub retries_per_success: f64,
    /// Most retries that can be saved up.
    pub max_retries_saved: f64,
    /// Shortest remaining deadline worth another try.
    pub min_remaining: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            max_retries_saved: 10.0,
            min_remaining: Duration::from_millis(50),
        }
    }
}

/// What is known of the last try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// It is proved that it did not run. Safe for every kind of request.
    NotRun,
    /// Nobody can know whether it ran.
    Unknown,
}

/// A request as the retry decision sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// What is known of the last try.
    pub last_outcome: TryOutcome,
    /// The caller already has a part of the answer.
    pub answer_started: bool,
    /// Time the caller still waits.
    pub remaining: Duration,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RetryRefusal {
    /// It may have run, and running it twice would do harm.
    #[error("the request may have run and is not idempotent")]
    NotIdempotent,
    /// The caller holds a part of another answer.
    #[error("part of the answer was delivered")]
    AnswerStarted,
    /// The caller's deadline is too near.
    #[error("too little time remains")]
    TooLate,
    /// Failures outnumber what successes paid for.
    #[error("the retry budget is spent")]
    BudgetSpent,
}

/// Retry budget of one workspace on one entry.
///
/// ```
/// use flamingowheel_policy::retry::{TryOutcome, RetryBudget, RetryConfig, RetryRequest};
/// use std::time::Duration;
/// let mut budget = RetryBudget::new(RetryConfig { max_retries_saved: 1.0, ..RetryConfig::default() });
/// let request = RetryRequest {
///     idempotent: true,
///     last_outcome: TryOutcome::Unknown,
///     answer_started: false,
///     remaining: Duration::from_secs(1),
/// };
/// assert!(budget.try_retry(&request).is_ok());
/// assert!(budget.try_retry(&request).is_err());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
}

impl RetryBudget {
    /// A full budget, so that the first failures after a start can be retried.
    #[must_use]
    pub fn new(config: RetryConfig) -> Self {
        Self { config, saved: config.max_retries_saved }
    }

    /// Pays for a part of a later retry.
    pub fn on_success(&mut self) {
        self.saved =
            (self.saved + self.config.retries_per_success).min(self.config.max_retries_saved);
    }

    /// Takes one retry from the budget, if the request may be sent again at all.
    ///
    /// # Errors
    ///
    /// When sending it again would be unsafe, too late, or is not paid for.
    pub fn try_retry(&mut self, request: &RetryRequest) -> Result<(), RetryRefusal> {
        may_retry(&self.config, request)?;
        if self.saved < 1.0 {
            return Err(RetryRefusal::BudgetSpent);
        }
        self.saved -= 1.0;
        Ok(())
    }

    /// Retries that are paid for now.
    #[must_use]
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

fn may_retry(config: &RetryConfig, request: &RetryRequest) -> Result<(), RetryRefusal> {
    if request.answer_started {
        return Err(RetryRefusal::AnswerStarted);
    }
    if !request.idempotent && request.last_outcome == TryOutcome::Unknown {
        return Err(RetryRefusal::NotIdempotent);
    }
    if request.remaining < config.min_remaining {
        return Err(RetryRefusal::TooLate);
    }
    Ok(())
}
