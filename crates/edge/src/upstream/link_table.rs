//! The links to all upstreams.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mux_model::{FastMap, FastSet, InstanceId, UpstreamId};

use super::upstream_link::UpstreamLink;

/// One link for each instance that calls go to.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: Mutex<FastMap<InstanceId, Arc<UpstreamLink>>>,
}

impl LinkTable {
    /// Creates a table without links.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the link to an instance.
    pub(crate) fn link(&self, instance: &InstanceId, upstream: UpstreamId) -> Arc<UpstreamLink> {
        let mut links = self.lock();
        if let Some(link) = links.get(instance).filter(|it| it.upstream() == upstream) {
            return Arc::clone(link);
        }
        let link = Arc::new(UpstreamLink::new(upstream));
        links.insert(instance.clone(), Arc::clone(&link));
        link
    }

    /// Closes the links to all other instances, once their calls have ended.
    pub(crate) fn keep_only<'a>(&self, instances: impl Iterator<Item = &'a InstanceId>) {
        let kept: FastSet<&InstanceId> = instances.collect();
        let mut links = self.lock();
        for (_, link) in links.extract_if(|it, _| !kept.contains(it)) {
            link.close();
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<InstanceId, Arc<UpstreamLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
