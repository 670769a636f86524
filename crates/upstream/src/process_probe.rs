//! Finds out whether the process of an upstream has ended.

use std::{io, time::Duration};

use mux_model::{TimePoint, UpstreamId};
use mux_timer::TimerService;
use tokio::{net::TcpStream, sync::Mutex};

/// Time within which an upstream whose process has ended refuses a connection; its host still answers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which the result of a probe serves the other calls that were lost at the same moment.
const PROBE_LIFETIME: Duration = Duration::from_millis(50);

/// Probes one upstream after connections to it were lost.
///
/// A process that is alive may lose single connections, for example because of its connection limit
/// or a fault of the network.
#[derive(Debug, Default)]
pub struct ProcessProbe {
    /// Time and result of the latest probe.
    latest: Mutex<Option<(TimePoint, bool)>>,
}

impl ProcessProbe {
    /// Returns whether `upstream` refuses a new connection.
    pub async fn refuses_connection(&self, timer: &TimerService, upstream: UpstreamId) -> bool {
        let mut latest = self.latest.lock().await;
        if let Some((probed_at, is_refused)) = *latest
            && timer.now().since(probed_at) < PROBE_LIFETIME
        {
            return is_refused;
        }
        let is_refused = dial(timer, upstream, PROBE_TIMEOUT).await == DialResult::Refused;
        *latest = Some((timer.now(), is_refused));
        is_refused
    }
}

/// Result of an attempt to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialResult {
    /// The connection was established.
    Accepted,
    /// It was refused.
    Refused,
    /// It was not established in time, or failed for another reason.
    Failed,
}

/// Opens a connection to `upstream` within `limit`, and closes it without sending anything.
pub async fn dial(timer: &TimerService, upstream: UpstreamId, limit: Duration) -> DialResult {
    match timer.timeout(limit, TcpStream::connect(upstream.0)).await {
        Ok(Ok(_)) => DialResult::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => DialResult::Refused,
        Ok(Err(_)) | Err(_) => DialResult::Failed,
    }
}
