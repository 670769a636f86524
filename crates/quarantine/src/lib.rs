//! Recognizes requests that crash the upstreams that run them.

mod request_fingerprint;

pub use request_fingerprint::RequestFingerprint;
