//! Digests for finding the parts in which the member tables of two nodes differ.

use mux_model::NodeId;
use serde::{Deserialize, Serialize};

use crate::{MemberRecord, codec::stable_hash};

const BUCKET_COUNT: usize = 32;

/// One hash per bucket of members; a member's bucket depends on its name only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct TableDigest([u32; BUCKET_COUNT]);

/// Set of buckets, as a bit mask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct BucketSet(u32);

impl TableDigest {
    /// Computes the digest over the names, incarnations and states of `records`.
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Self {
        let mut digest = Self::default();
        for record in records {
            digest.0[bucket_of(record.node())] ^= hash_of(record);
        }
        digest
    }

    /// Returns the buckets whose hashes differ between `self` and `other`.
    pub(crate) fn differences(&self, other: &Self) -> BucketSet {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        let differing = pairs.filter(|(_, (lhs, rhs))| lhs != rhs);
        BucketSet(differing.fold(0, |set, (idx, _)| set | 1 << idx))
    }
}

impl BucketSet {
    /// Returns whether the set has no buckets.
    pub(crate) fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether the bucket of `node` is in the set.
    pub(crate) fn contains(self, node: &NodeId) -> bool {
        self.0 & 1 << bucket_of(node) != 0
    }
}

fn bucket_of(node: &NodeId) -> usize {
    stable_hash(node.as_str().as_bytes()) as usize % BUCKET_COUNT
}

fn hash_of(record: &MemberRecord) -> u32 {
    let mut bytes = record.node().as_str().as_bytes().to_vec();
    bytes.extend(record.incarnation.0.to_le_bytes());
    bytes.push(record.state as u8);
    stable_hash(&bytes)
}
