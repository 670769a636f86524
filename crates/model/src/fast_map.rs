//! Hash collections with a fast, non-cryptographic hasher.

#![expect(clippy::disallowed_types, reason = "the only module that names the standard collections")]

use std::collections::{HashMap, HashSet};

/// Hasher used by [`FastMap`] and [`FastSet`].
pub type FastHasher = rustc_hash::FxBuildHasher;

/// Hash map that uses [`FastHasher`].
pub type FastMap<K, V> = HashMap<K, V, FastHasher>;

/// Hash set that uses [`FastHasher`].
pub type FastSet<T> = HashSet<T, FastHasher>;
