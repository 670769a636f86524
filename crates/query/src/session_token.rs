//! Session tokens; each names the node incarnation that runs the requests of its session.

use std::{fmt, str, time::Duration};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use mux_model::{NodeId, NodeIncarnation, TimePoint};
use sha2::Sha256;

const TOKEN_VERSION: u8 = 1;
const NONCE_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + 8 + 8 + NONCE_BYTES;
const SIGNATURE_BYTES: usize = 32;
const KEY_BYTES: usize = 64;
const MAX_TEXT_BYTES: usize = 1_024;

/// Identity of a session; random, so that no identity is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId([u8; NONCE_BYTES]);

impl SessionId {
    /// Returns the index of the session's stripe among `count`; sessions are distributed evenly.
    pub(crate) fn stripe_index(self, count: usize) -> usize {
        usize::from(self.0[0]) % count.max(1)
    }
}

/// Reason why a token is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The text is not a token.
    Malformed,
    /// Another node, or an earlier incarnation of this node, minted the token.
    OtherOwner,
    /// The signature does not match the key of the incarnation that the token names.
    InvalidSignature,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed => "malformed session token",
            Self::OtherOwner => "session token of another node or run",
            Self::InvalidSignature => "session token with a wrong signature",
        };
        f.write_str(text)
    }
}

impl std::error::Error for TokenError {}

/// The credential of a session that its caller sends with each request.
///
/// Any node can read the owner from the token; only the owner can check the signature.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionToken {
    owner: NodeId,
    incarnation: NodeIncarnation,
    minted_at: TimePoint,
    session: SessionId,
    signature: [u8; SIGNATURE_BYTES],
}

impl SessionToken {
    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::Malformed`] if the text is not a token; the signature is not checked.
    pub fn parse(text: &str) -> Result<Self, TokenError> {
        if MAX_TEXT_BYTES < text.len() {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        Self::decode(&bytes).ok_or(TokenError::Malformed)
    }

    /// Returns the node that minted the token.
    pub fn owner(&self) -> &NodeId {
        &self.owner
    }

    /// Returns the incarnation of the owner that minted the token.
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// Returns the identity of the session.
    pub fn session(&self) -> SessionId {
        self.session
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        let (incarnation, rest) = rest.split_first_chunk()?;
        let (minted_at, rest) = rest.split_first_chunk()?;
        let (nonce, rest) = rest.split_first_chunk()?;
        let (signature, owner) = rest.split_first_chunk()?;
        if *version != TOKEN_VERSION || owner.is_empty() {
            return None;
        }
        Some(Self {
            owner: NodeId::from(str::from_utf8(owner).ok()?),
            incarnation: NodeIncarnation(u64::from_be_bytes(*incarnation)),
            minted_at: TimePoint::from_micros(u64::from_be_bytes(*minted_at)),
            session: SessionId(*nonce),
            signature: *signature,
        })
    }

    fn encode(&self) -> Vec<u8> {
        let owner = self.owner.as_str().as_bytes();
        let mut bytes = self.encode_header().to_vec();
        bytes.extend_from_slice(&self.signature);
        bytes.extend_from_slice(owner);
        bytes
    }

    fn encode_header(&self) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[0] = TOKEN_VERSION;
        header[1..9].copy_from_slice(&self.incarnation.0.to_be_bytes());
        header[9..17].copy_from_slice(&self.minted_at.as_micros().to_be_bytes());
        header[17..].copy_from_slice(&self.session.0);
        header
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.encode()))
    }
}

/// Mints and verifies the session tokens of one node incarnation.
///
/// The key is random and never leaves the process, so no later incarnation accepts an earlier
/// token.
pub struct SessionMint {
    owner: NodeId,
    incarnation: NodeIncarnation,
    lifetime: Duration,
    key: Hmac<Sha256>,
}

impl SessionMint {
    /// Creates a mint with a new random key.
    ///
    /// # Panics
    ///
    /// Panics if the system has no source of randomness.
    pub fn new(owner: NodeId, incarnation: NodeIncarnation, lifetime: Duration) -> Self {
        let key: [u8; KEY_BYTES] = rand::random();
        let key = Hmac::new(&key.into());
        Self { owner, incarnation, lifetime, key }
    }

    /// Mints a token whose lifetime begins at `now`.
    pub fn mint(&self, now: TimePoint) -> SessionToken {
        let mut token = SessionToken {
            owner: self.owner.clone(),
            incarnation: self.incarnation,
            minted_at: now,
            session: SessionId(rand::random()),
            signature: [0; SIGNATURE_BYTES],
        };
        token.signature = self.compute_hmac(&token).finalize().into_bytes().into();
        token
    }

    /// Verifies that this mint issued the token and returns when the token expires.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::OtherOwner`] or [`TokenError::InvalidSignature`] if it did not.
    pub fn verify(&self, token: &SessionToken) -> Result<TimePoint, TokenError> {
        if token.owner != self.owner || token.incarnation != self.incarnation {
            return Err(TokenError::OtherOwner);
        }
        self.compute_hmac(token)
            .verify_slice(&token.signature)
            .map_err(|_| TokenError::InvalidSignature)?;
        Ok(token.minted_at + self.lifetime)
    }

    fn compute_hmac(&self, token: &SessionToken) -> Hmac<Sha256> {
        let mut hmac = self.key.clone();
        hmac.update(&token.encode_header());
        hmac.update(token.owner.as_str().as_bytes());
        hmac
    }
}

impl fmt::Debug for SessionMint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SessionMint")
            .field("owner", &self.owner)
            .field("incarnation", &self.incarnation)
            .field("lifetime", &self.lifetime)
            .finish_non_exhaustive()
    }
}
