//! Evidence that a request crashes upstreams.

use std::fmt;

use mux_model::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::RequestFingerprint;

/// Prefix of the text form of [`EvidenceSource::Trial`].
const TRIAL_PREFIX: &str = "trial-";

/// One process of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamProcess {
    /// Identity of the upstream instance.
    pub instance: InstanceId,
    /// Start of the process in milliseconds of Unix time; 0 if unknown.
    pub started_ms: u64,
}

/// What a piece of evidence is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EvidenceSource {
    /// This process ended while it ran the request.
    Crash(UpstreamProcess),
    /// The quarantined request was admitted once more after this number of crashes.
    Trial(u32),
}

impl EvidenceSource {
    /// Parses the text form; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some((instance, started_ms)) = text.rsplit_once('@') {
            let started_ms = started_ms.parse().ok()?;
            return Some(Self::Crash(UpstreamProcess { instance: instance.into(), started_ms }));
        }
        Some(Self::Trial(text.strip_prefix(TRIAL_PREFIX)?.parse().ok()?))
    }
}

impl fmt::Display for EvidenceSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crash(process) => write!(f, "{}@{}", process.instance, process.started_ms),
            Self::Trial(number) => write!(f, "{TRIAL_PREFIX}{number}"),
        }
    }
}

/// Identity of a piece of evidence. Nodes that observe the same crash record it under the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What the evidence is about.
    pub source: EvidenceSource,
}

/// A piece of evidence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Identity of the evidence.
    pub key: EvidenceKey,
    /// Service of the upstream.
    pub service: ServiceName,
    /// When it was observed, in milliseconds of Unix time by the clock of the observer; later if it counts
    /// on its own although other processes have just ended.
    pub observed_ms: u64,
}

impl Evidence {
    /// Returns when the process of an upstream ended, in milliseconds of Unix time, and the upstream;
    /// `None` if the evidence is no crash.
    pub(crate) fn ended_at(&self) -> Option<(u64, &InstanceId)> {
        match &self.key.source {
            EvidenceSource::Crash(process) => Some((self.observed_ms, &process.instance)),
            EvidenceSource::Trial(_) => None,
        }
    }

    /// Returns whether the evidence is the crash of a process.
    pub fn is_crash(&self) -> bool {
        matches!(self.key.source, EvidenceSource::Crash(_))
    }
}
