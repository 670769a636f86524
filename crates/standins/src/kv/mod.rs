//! In-memory test double of the key-value service, with the HTTP/1.1 interface of the real service.
//!
//! Control requests, to which injected faults do not apply:
//!
//! | Request | Effect |
//! |---|---|
//! | `PUT /v1/vms` `{vms}` | replaces the VM list, the value of the key `vms` |
//! | `PUT /v1/entries` `{key, value}` | writes a key as operators and upstreams do, or removes it if there is no value |
//! | `PUT /v1/faults` [`FaultPlan`] | replaces the faults |
//! | `POST /v1/forget` | drops the change history |
//! | `POST /v1/restore` `{age_ms}` | goes back to the state of that time ago, and begins a new era |
//! | `GET /v1/counters` | 200 [`CallCounters`]; a long poll counts as one call |

mod call_counters;
mod fault_plan;
mod http_routes;
mod kv_copies;
mod kv_request;
mod kv_settings;
mod replies;

use std::{io, path::Path, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use mux_timer::TimerService;
use tokio::net::TcpListener;

pub(crate) use self::{
    call_counters::CallCounters, fault_plan::FaultPlan, http_routes::HttpRoutes,
    kv_settings::KvSettings,
};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Serves with the settings in `path` until accepting connections fails.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or the address cannot be bound.
pub(crate) async fn run(path: &Path) -> io::Result<()> {
    let settings = KvSettings::load(path)?;
    let listener = TcpListener::bind(settings.listen).await?;
    println!("kv: listening on {}", listener.local_addr()?);
    serve(listener, settings).await
}

/// Serves calls on `listener` until accepting fails.
///
/// # Errors
///
/// Returns the error with which accepting a connection failed.
pub(crate) async fn serve(listener: TcpListener, settings: KvSettings) -> io::Result<()> {
    let timer = TimerService::start(PAUSE_LIMIT);
    let routes = Arc::new(HttpRoutes::new(timer, settings));
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let routes = Arc::clone(&routes);
        let service = service_fn(move |request| {
            let routes = Arc::clone(&routes);
            async move { routes.answer(request).await }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
