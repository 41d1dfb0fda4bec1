//! One thread for control state, beside those of the traffic runtime.

use std::future::Future;
use std::io;

/// Runs a future on a thread of its own, until it ends. Control decisions then don't wait behind
/// traffic, and traffic does not wait behind them.
pub fn spawn_control<F, T>(name: &str, build: F) -> io::Result<()>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name(name.to_owned());
    thread.spawn(move || runtime.block_on(build()))?;
    Ok(())
}
