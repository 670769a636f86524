//! Queue of updates that are piggybacked on messages a limited number of times.

/// Keys of updates, ordered by their number of transmissions.
#[derive(Debug)]
pub(crate) struct RetransmitQueue<K> {
    items: Vec<(u32, K)>,
}

impl<K> Default for RetransmitQueue<K> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<K: PartialEq + Clone> RetransmitQueue<K> {
    /// Adds `key`, or resets its number of transmissions.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.items.insert(0, (0, key));
    }

    /// Returns whether `key` is queued.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.items.iter().any(|(_, it)| it == key)
    }

    /// Removes `key`.
    pub(crate) fn remove(&mut self, key: &K) {
        self.items.retain(|(_, it)| it != key);
    }

    /// Calls `accept` with each key, least transmitted first, and counts a transmission if it
    /// returns true. Keys transmitted `limit` times are removed.
    pub(crate) fn offer(&mut self, limit: u32, mut accept: impl FnMut(&K) -> bool) {
        if self.items.is_empty() {
            return;
        }
        for (sent, key) in &mut self.items {
            if accept(key) {
                *sent += 1;
            }
        }
        self.items.retain(|(sent, _)| *sent < limit);
        self.items.sort_by_key(|(sent, _)| *sent);
    }
}
