//! Decides whether a failed request may be retried.
//!
//! Without a budget, an outage multiplies the load on the remaining servers by the number of tries
//! and overloads those too; tries per request climb while goodput falls. The budget is a token
//! bucket that successes refill, so retries stay a fixed share of the successful requests.

use std::time::Duration;

use thiserror::Error;

/// Settings of a workspace's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries added to the budget by one success.
    pub retries_per_success: f64,
    /// Capacity of the budget, in retries.
    pub max_retries_saved: f64,
    /// Shortest remaining time to the deadline for which a retry is worthwhile.
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

/// Whether the previous try may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// It provably did not run, so a retry is safe for every kind of request.
    NotRun,
    /// It is impossible to know whether it ran.
    Unknown,
}

/// A failed request that may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// Outcome of the previous try.
    pub last_outcome: TryOutcome,
    /// The caller already received a part of the answer.
    pub answer_started: bool,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RetryRefusal {
    /// It may have run and is not idempotent.
    #[error("the request may have run and is not idempotent")]
    NotIdempotent,
    /// The caller already received a part of the answer, which another run could contradict.
    #[error("part of the answer was delivered")]
    AnswerStarted,
    /// Less than [`RetryConfig::min_remaining`] is left until the deadline.
    #[error("too little time remains")]
    TooLate,
    /// The budget holds less than one retry.
    #[error("the retry budget is spent")]
    BudgetSpent,
}

/// Retry budget of one workspace on one entry.
///
/// ```
/// use flamingowheel_policy::retry::{TryOutcome, RetryBudget, RetryConfig, RetryRequest};
/// use std::time::Duration;
/// let config = RetryConfig { max_retries_saved: 1.0, ..RetryConfig::default() };
/// let mut budget = RetryBudget::new(config);
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
    /// Starts with a full budget, so that the first failures after a start can be retried.
    #[must_use]
    pub fn new(config: RetryConfig) -> Self {
        Self { config, saved: config.max_retries_saved }
    }

    /// Refills the budget by [`RetryConfig::retries_per_success`].
    pub fn on_success(&mut self) {
        self.saved =
            (self.saved + self.config.retries_per_success).min(self.config.max_retries_saved);
    }

    /// Takes one retry from the budget if the request may be retried.
    ///
    /// # Errors
    ///
    /// When a retry would be unsafe or too late, or the budget is exhausted.
    pub fn try_retry(&mut self, request: &RetryRequest) -> Result<(), RetryRefusal> {
        may_retry(&self.config, request)?;
        if self.saved < 1.0 {
            return Err(RetryRefusal::BudgetSpent);
        }
        self.saved -= 1.0;
        Ok(())
    }

    /// Retries currently in the budget.
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
