//! Runs control tasks on a thread apart from the traffic runtime.

use std::future::Future;
use std::io;

/// Spawns a thread that runs a future to its end on its own runtime, so that control decisions and
/// traffic don't delay each other.
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
