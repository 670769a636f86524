//! Datagram encoding of gossip messages.

use serde::Serialize;

use crate::{errors::CodecError, message::GossipMessage};

/// Maximum length of a sent datagram.
pub(crate) const DATAGRAM_LIMIT_BYTES: usize = 1_200;

const PROTOCOL_VERSION: u8 = 1;
const PREFIX_BYTES: usize = 5;
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Encodes and decodes the datagrams of one cluster.
///
/// A datagram starts with a prefix: the protocol version and a hash of the cluster name.
#[derive(Debug)]
pub(crate) struct GossipCodec {
    prefix: [u8; PREFIX_BYTES],
}

impl GossipCodec {
    /// Creates the codec for the cluster named `cluster`.
    pub(crate) fn new(cluster: &str) -> Self {
        let [a, b, c, d] = stable_hash(cluster.as_bytes()).to_le_bytes();
        Self { prefix: [PROTOCOL_VERSION, a, b, c, d] }
    }

    /// Encodes `message`; returns `None` if it cannot be serialized.
    pub(crate) fn encode(&self, message: &GossipMessage) -> Option<Vec<u8>> {
        let bytes = Vec::with_capacity(DATAGRAM_LIMIT_BYTES);
        let bytes = postcard::to_extend(&self.prefix, bytes).ok()?;
        postcard::to_extend(message, bytes).ok()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason for dropping the datagram.
    pub(crate) fn decode(&self, bytes: &[u8]) -> Result<GossipMessage, CodecError> {
        let Some((prefix, rest)) = bytes.split_first_chunk::<PREFIX_BYTES>() else {
            return Err(CodecError::Malformed);
        };
        if *prefix != self.prefix {
            return Err(CodecError::Foreign);
        }
        match postcard::take_from_bytes(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(CodecError::Malformed),
        }
    }
}

/// Returns the encoded length of `value` in bytes, or the datagram limit if it cannot be
/// serialized, so that it is never added to a message.
pub(crate) fn encoded_len<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(DATAGRAM_LIMIT_BYTES)
}

/// Returns the 32-bit FNV-1a hash of `bytes`, which does not depend on the build or platform.
pub(crate) fn stable_hash(bytes: &[u8]) -> u32 {
    bytes.iter().fold(FNV_OFFSET, |hash, it| (hash ^ u32::from(*it)).wrapping_mul(FNV_PRIME))
}
