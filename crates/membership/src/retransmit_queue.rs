//! Items that are passed on with outgoing messages a bounded number of times.

/// Items in order of how often they were sent.
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
    /// Adds `key`, or counts its transmissions anew.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.items.insert(0, (0, key));
    }

    /// Returns whether `key` is to be passed on.
    pub(crate) fn contains(&self, key: &K) -> bool {
        self.items.iter().any(|(_, it)| it == key)
    }

    /// Removes `key`.
    pub(crate) fn remove(&mut self, key: &K) {
        self.items.retain(|(_, it)| it != key);
    }

    /// Offers the items, least sent first, and counts a transmission for each one that `accept`
    /// takes; items sent `limit` times are dropped.
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
