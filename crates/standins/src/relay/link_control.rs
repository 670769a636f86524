//! State of one relay, and the HTTP control server that changes it.

use std::{convert::Infallible, io, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

use super::relay_settings::{RelayControl, RelayMode};

/// State of one relay; its links subscribe to it.
#[derive(Debug)]
pub(crate) struct LinkControl {
    state: watch::Sender<LinkState>,
}

/// Behaviour of the links of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkState {
    /// Last control request.
    pub(crate) control: RelayControl,
    /// Connections accepted so far.
    pub(crate) accepted: u64,
    /// Connections up to this number are reset.
    pub(crate) cut_up_to: u64,
    /// Connections up to this number transfer no bytes.
    pub(crate) silent_up_to: u64,
}

impl LinkControl {
    pub(crate) fn new() -> Arc<Self> {
        let state = LinkState {
            control: RelayControl { mode: RelayMode::Pass, delay_ms: 0 },
            accepted: 0,
            cut_up_to: 0,
            silent_up_to: 0,
        };
        Arc::new(Self { state: watch::Sender::new(state) })
    }

    /// Returns a receiver of state changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<LinkState> {
        self.state.subscribe()
    }

    /// Returns the current state.
    pub(crate) fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Counts a new connection and returns its number.
    pub(crate) fn register_connection(&self) -> u64 {
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
                // The client detects a failed connection itself.
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
                RelayMode::Cut => it.cut_up_to = it.accepted,
                RelayMode::SilentOpen | RelayMode::SilentAll => it.silent_up_to = it.accepted,
            }
        });
    }
}

impl LinkState {
    /// Returns whether connection `number` is to be reset.
    pub(crate) fn is_cut(&self, number: u64) -> bool {
        number <= self.cut_up_to || self.control.mode == RelayMode::Cut
    }

    /// Returns whether connection `number` transfers no bytes.
    pub(crate) fn is_silent(&self, number: u64) -> bool {
        number <= self.silent_up_to || self.control.mode == RelayMode::SilentAll
    }
}

fn bad_request(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
