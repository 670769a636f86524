//! The state of one relay that control changes.

use std::{convert::Infallible, io, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

use super::relay_settings::{RelayControl, RelayMode};

/// The state of one relay; its links watch it.
#[derive(Debug)]
pub(crate) struct LinkControl {
    state: watch::Sender<LinkState>,
}

/// What the links of a relay do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkState {
    /// What was asked for last.
    pub(crate) control: RelayControl,
    /// Connections accepted so far.
    pub(crate) accepted: u64,
    /// Connections up to this number are reset.
    pub(crate) cut_until: u64,
    /// Connections up to this number stay silent.
    pub(crate) silent_until: u64,
}

impl LinkControl {
    pub(crate) fn new() -> Arc<Self> {
        let state = LinkState {
            control: RelayControl { mode: RelayMode::Pass, delay_ms: 0 },
            accepted: 0,
            cut_until: 0,
            silent_until: 0,
        };
        Arc::new(Self { state: watch::Sender::new(state) })
    }

    /// Returns a view of the state that follows its changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LinkState> {
        self.state.subscribe()
    }

    /// Returns the state now.
    pub(crate) fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Counts a new connection and returns its number.
    pub(crate) fn accept(&self) -> u64 {
        self.state.send_modify(|it| it.accepted += 1);
        self.state().accepted
    }

    /// Serves `PUT` and `GET /v1/control` until the listener fails.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let control = Arc::clone(&self);
            tokio::spawn(async move {
                let service = service_fn(|request| control.answer(request));
                // The peer sees whether its request was answered.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.method() == Method::PUT {
            let body = request.into_body().collect().await;
            let body = body.map(|it| it.to_bytes()).unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(control) => self.apply(control),
                Err(error) => return Ok(bad_request(error.to_string())),
            }
        }
        let text = serde_json::to_vec(&self.state().control).unwrap_or_default();
        Ok(Response::new(Full::new(text.into())))
    }

    fn apply(&self, control: RelayControl) {
        self.state.send_modify(|it| {
            it.control = control;
            match control.mode {
                RelayMode::Pass => {}
                RelayMode::Cut => it.cut_until = it.accepted,
                RelayMode::SilentOpen | RelayMode::SilentAll => it.silent_until = it.accepted,
            }
        });
    }
}

impl LinkState {
    /// Returns whether connection `number` is to be reset.
    pub(crate) fn is_cut(&self, number: u64) -> bool {
        number <= self.cut_until || self.control.mode == RelayMode::Cut
    }

    /// Returns whether connection `number` moves no bytes.
    pub(crate) fn is_silent(&self, number: u64) -> bool {
        number <= self.silent_until || self.control.mode == RelayMode::SilentAll
    }
}

fn bad_request(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
