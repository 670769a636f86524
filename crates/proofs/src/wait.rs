//! Polling for conditions.

use std::time::Duration;

use mux_timer::TimerService;

/// Time after which waiting for a condition fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value, and returns that value.
///
/// # Panics
///
/// Panics with `description` if the condition is not met within [`WAIT_TIMEOUT`].
pub async fn wait_until<T>(
    timer: &TimerService,
    description: &str,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> T {
    let poll = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            timer.sleep(POLL_PERIOD).await;
        }
    };
    let result = timer.timeout(WAIT_TIMEOUT, poll).await;
    result.unwrap_or_else(|_| panic!("condition not met within {WAIT_TIMEOUT:?}: {description}"))
}
