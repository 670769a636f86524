//! Looks up the route of a request.

use std::sync::Arc;

use mux_model::{FastMap, RevisionNumber};
use mux_workspaces::WorkspaceDirectory;

use super::{RequestLimits, RouteRule, TrafficConfig};

/// Routes of one version, indexed by host and prefix.
#[derive(Debug)]
pub struct RouteTable {
    version: RevisionNumber,
    request_limits: RequestLimits,
    hosts: FastMap<String, FastMap<String, Arc<RouteRule>>>,
    workspaces: WorkspaceDirectory,
}

impl RouteTable {
    /// Indexes the routes of `config`; of routes with the same host and prefix the first is used.
    pub fn new(config: &TrafficConfig) -> Self {
        let mut hosts: FastMap<String, FastMap<String, Arc<RouteRule>>> = FastMap::default();
        for rule in &config.routes {
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.entry(rule.prefix.clone()).or_insert_with(|| Arc::new(rule.clone()));
        }
        let workspaces = WorkspaceDirectory::new(&config.workspaces);
        Self { version: config.version, request_limits: config.request_limits, hosts, workspaces }
    }

    /// Returns the configuration version of the routes.
    pub fn version(&self) -> RevisionNumber {
        self.version
    }

    /// Returns the limits of callers' requests.
    pub fn request_limits(&self) -> RequestLimits {
        self.request_limits
    }

    /// Returns the workspaces of this version by key.
    pub fn workspaces(&self) -> &WorkspaceDirectory {
        &self.workspaces
    }

    /// Returns all routes, in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flat_map(FastMap::values)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// `host` may include a port; `path` must not include a query string. As every prefix ends with
    /// a slash, one lookup per slash in the path suffices, regardless of the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host_name(host);
        let prefixes = match self.hosts.get(host) {
            Some(it) => it,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.bytes().enumerate().rev().filter(|(_, it)| *it == b'/');
        slashes.filter_map(|(idx, _)| path.get(..=idx)).find_map(|it| prefixes.get(it))
    }
}

fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}
