//! Waiting for conditions.

use std::time::Duration;

use mux_timer::TimerService;

/// Time after which a condition counts as never met.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Evaluates `condition` until it yields a value, and returns that value.
///
/// # Panics
///
/// Panics with `what` if the condition is not met within [`WAIT_LIMIT`].
pub async fn wait_until<T>(
    timer: &TimerService,
    what: &str,
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
    let result = timer.timeout(WAIT_LIMIT, poll).await;
    result.unwrap_or_else(|_| panic!("not within {WAIT_LIMIT:?}: {what}"))
}
