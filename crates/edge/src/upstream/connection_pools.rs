//! The connection pools of all upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mux_model::{FastMap, FastSet, InstanceId, TimePoint, UpstreamId};

use super::connection_pool::ConnectionPool;

/// The connection pools by instance.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPools {
    pools: Mutex<FastMap<InstanceId, Arc<ConnectionPool>>>,
}

impl ConnectionPools {
    /// Creates an empty set of pools.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the pool of an instance; creates it if there is none or the address has changed.
    pub(crate) fn pool(&self, instance: &InstanceId, upstream: UpstreamId) -> Arc<ConnectionPool> {
        let mut pools = self.lock();
        if let Some(pool) = pools.get(instance).filter(|it| it.upstream() == upstream) {
            return Arc::clone(pool);
        }
        let pool = Arc::new(ConnectionPool::new(instance.clone(), upstream));
        pools.insert(instance.clone(), Arc::clone(&pool));
        pool
    }

    /// Returns whether a call to `instance` was replied to after `since`.
    pub(crate) fn has_replied_since(&self, instance: &InstanceId, since: TimePoint) -> bool {
        self.lock().get(instance).is_some_and(|it| since < it.last_reply_at())
    }

    /// Removes and closes the pools of all other instances; calls in flight continue.
    pub(crate) fn keep_only<'a>(&self, instances: impl Iterator<Item = &'a InstanceId>) {
        let kept: FastSet<&InstanceId> = instances.collect();
        let mut pools = self.lock();
        for (_, pool) in pools.extract_if(|it, _| !kept.contains(it)) {
            pool.close();
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<InstanceId, Arc<ConnectionPool>>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
