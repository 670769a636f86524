//! Session tokens, which name the one node incarnation that runs their requests.

use std::{fmt, str, time::Duration};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use mux_model::{NodeId, NodeIncarnation, TimePoint};
use sha2::Sha256;

const TOKEN_VERSION: u8 = 1;
const NONCE_BYTES: usize = 16;
const HEAD_BYTES: usize = 1 + 8 + 8 + NONCE_BYTES;
const TAG_BYTES: usize = 32;
const KEY_BYTES: usize = 64;
const MAX_TEXT_BYTES: usize = 1_024;

/// Identity of a session; random, so that it is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId([u8; NONCE_BYTES]);

impl SessionId {
    /// Returns a number below `count` that spreads sessions evenly.
    pub(crate) fn bucket(self, count: usize) -> usize {
        usize::from(self.0[0]) % count.max(1)
    }
}

/// Why a token cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The text is not a token.
    Malformed,
    /// Another node, or an earlier run of this node, minted the token.
    OtherOwner,
    /// The signature is not that of the incarnation that the token names.
    Forged,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed => "malformed session token",
            Self::OtherOwner => "session token of another node or run",
            Self::Forged => "session token with a wrong signature",
        };
        f.write_str(text)
    }
}

impl std::error::Error for TokenError {}

/// A session as its caller carries it.
///
/// Any node can read the owner from the token; only the owner can check the signature.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionToken {
    owner: NodeId,
    incarnation: NodeIncarnation,
    minted_at: TimePoint,
    session: SessionId,
    tag: [u8; TAG_BYTES],
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

    /// Returns the run of the owner that minted the token.
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
        let (tag, owner) = rest.split_first_chunk()?;
        if *version != TOKEN_VERSION || owner.is_empty() {
            return None;
        }
        Some(Self {
            owner: NodeId::from(str::from_utf8(owner).ok()?),
            incarnation: NodeIncarnation(u64::from_be_bytes(*incarnation)),
            minted_at: TimePoint::from_micros(u64::from_be_bytes(*minted_at)),
            session: SessionId(*nonce),
            tag: *tag,
        })
    }

    fn encode(&self) -> Vec<u8> {
        let owner = self.owner.as_str().as_bytes();
        let mut bytes = self.encode_head().to_vec();
        bytes.extend_from_slice(&self.tag);
        bytes.extend_from_slice(owner);
        bytes
    }

    fn encode_head(&self) -> [u8; HEAD_BYTES] {
        let mut head = [0; HEAD_BYTES];
        head[0] = TOKEN_VERSION;
        head[1..9].copy_from_slice(&self.incarnation.0.to_be_bytes());
        head[9..17].copy_from_slice(&self.minted_at.as_micros().to_be_bytes());
        head[17..].copy_from_slice(&self.session.0);
        head
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.encode()))
    }
}

/// Mints and checks the session tokens of one node incarnation.
///
/// The key is random and never leaves the process, so that no later run accepts an earlier token.
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

    /// Mints a token that lives from `now` for the lifetime.
    pub fn mint(&self, now: TimePoint) -> SessionToken {
        let mut token = SessionToken {
            owner: self.owner.clone(),
            incarnation: self.incarnation,
            minted_at: now,
            session: SessionId(rand::random()),
            tag: [0; TAG_BYTES],
        };
        token.tag = self.signature(&token).finalize().into_bytes().into();
        token
    }

    /// Returns the end of the token's lifetime if this mint minted it.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::OtherOwner`] or [`TokenError::Forged`] if it did not.
    pub fn expiry(&self, token: &SessionToken) -> Result<TimePoint, TokenError> {
        if token.owner != self.owner || token.incarnation != self.incarnation {
            return Err(TokenError::OtherOwner);
        }
        self.signature(token).verify_slice(&token.tag).map_err(|_| TokenError::Forged)?;
        Ok(token.minted_at + self.lifetime)
    }

    fn signature(&self, token: &SessionToken) -> Hmac<Sha256> {
        let mut signature = self.key.clone();
        signature.update(&token.encode_head());
        signature.update(token.owner.as_str().as_bytes());
        signature
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
