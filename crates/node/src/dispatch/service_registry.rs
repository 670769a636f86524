//! The services in force at this node.

use std::sync::{Arc, PoisonError, RwLock};

use mux_model::{FastMap, ServiceName};

use super::ServiceRuntime;

type ServiceTable = FastMap<ServiceName, Arc<ServiceRuntime>>;

/// The services in force; replaced as a whole when the configuration or the members change.
#[derive(Debug, Default)]
pub(crate) struct ServiceRegistry {
    table: RwLock<Arc<ServiceTable>>,
}

impl ServiceRegistry {
    /// Returns one service.
    pub(crate) fn find(&self, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
        self.table().get(name).cloned()
    }

    /// Returns all services, sorted by name.
    pub(crate) fn all(&self) -> Vec<Arc<ServiceRuntime>> {
        let mut services: Vec<_> = self.table().values().cloned().collect();
        services.sort_unstable_by(|lhs, rhs| lhs.name().cmp(rhs.name()));
        services
    }

    /// Replaces all services.
    pub(crate) fn replace(&self, services: Vec<Arc<ServiceRuntime>>) {
        let table: ServiceTable = services.into_iter().map(|it| (it.name().clone(), it)).collect();
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
    }

    fn table(&self) -> Arc<ServiceTable> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }
}
