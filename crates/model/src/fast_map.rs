//! Hash collections with a fast, non-cryptographic hasher.

#![expect(clippy::disallowed_types, reason = "the one place that names the standard collections")]

use std::collections::{HashMap, HashSet};

/// Hasher used by [`FastMap`] and [`FastSet`].
pub type FastHasher = rustc_hash::FxBuildHasher;

/// Hash map with the project's fast hasher.
pub type FastMap<K, V> = HashMap<K, V, FastHasher>;

/// Hash set with the project's fast hasher.
pub type FastSet<T> = HashSet<T, FastHasher>;
