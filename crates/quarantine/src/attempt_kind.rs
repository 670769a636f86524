//! How an admitted attempt is made.

/// How an admitted attempt to serve a request is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// There is no evidence against the request.
    Ordinary,
    /// The request may crash upstreams.
    Suspect,
    /// The request is quarantined, and this attempt is its trial.
    Trial,
}

impl AttemptKind {
    /// Returns the name of the kind in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Suspect => "suspect",
            Self::Trial => "trial",
        }
    }
}
