//! The settings file of a node.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use mux_logs::LogSettings;
use mux_model::{AvailabilityZone, NodeId};
use serde::{Deserialize, Serialize};

use super::SettingsError;

/// Settings of one node, read from a JSON file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique within the installation; 1 to 63 of a-z, 0-9 and `-`.
    pub node: NodeId,
    /// Availability zone of the node.
    pub availability_zone: AvailabilityZone,
    /// Name of the installation; nodes of other installations are ignored.
    #[serde(default = "defaults::installation")]
    pub installation: String,
    /// Addresses on which the node listens; other nodes and callers connect to them.
    pub listen: ListenAddresses,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Peer addresses of other nodes, used in addition to the platform's VM list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: NodeTiming,
    /// Limits for callers.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Addresses on which a node listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// HTTP for callers.
    pub caller: SocketAddr,
    /// UDP gossip and TCP calls between nodes.
    pub peer: SocketAddr,
    /// Operators' RPC (gRPC).
    pub operator: SocketAddr,
    /// HTTP for `/metrics` and `/health`.
    pub metrics: SocketAddr,
}

/// Addresses and limits of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Time limit for one call, in milliseconds; 50 to 30000.
    #[serde(default = "defaults::call_limit_ms")]
    pub call_limit_ms: u64,
}

/// Intervals and time limits of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeTiming {
    /// Interval between membership probes, in milliseconds; 100 to 5000.
    pub probe_period_ms: u64,
    /// Time without any reply, whether from the key-value service or from a peer, after which the
    /// node stops admitting queries, in milliseconds; 1000 to 5000. Also the longest time for which
    /// the node admits queries after a higher configuration revision was reported that it has not
    /// applied.
    pub isolation_limit_ms: u64,
    /// Time for which a caller may use the addresses that a node returned to it, in milliseconds;
    /// 500 to 600000. The actual lifetime varies randomly by up to 20 % around it.
    pub address_lifetime_ms: u64,
    /// Lifetime of a session for requests that are not idempotent, in milliseconds; 10000 to
    /// 3600000.
    pub session_lifetime_ms: u64,
    /// Longest wait of one watch call to the key-value service, in milliseconds; 500 to 60000.
    pub watch_limit_ms: u64,
    /// Time without a reply from an upstream after which its status is polled, in milliseconds;
    /// 100 to 10000.
    pub upstream_status_ms: u64,
    /// Pause of the process above which configuration and members have to be verified before
    /// queries are admitted again, in milliseconds; 200 to 5000.
    pub pause_limit_ms: u64,
    /// Longest time that a planned stop waits for queries in flight after the address lifetime,
    /// in milliseconds; 0 to 600000. If it is shorter than a service's deadline, a stop can
    /// interrupt its queries.
    pub drain_limit_ms: u64,
}

impl Default for NodeTiming {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            isolation_limit_ms: 4_000,
            address_lifetime_ms: 10_000,
            session_lifetime_ms: 600_000,
            watch_limit_ms: 2_000,
            upstream_status_ms: 1_000,
            pause_limit_ms: 1_000,
            drain_limit_ms: 600_000,
        }
    }
}

/// Limits for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest request body, in bytes; 1024 to 16777216.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests, in bytes; 1048576 to 17179869184, and at least `body_bytes`.
    pub body_memory_bytes: usize,
    /// Open connections of callers, 16 to 1000000; by default 4096, or as many as the descriptors of the
    /// process leave to callers if these are fewer.
    pub connections: Option<u32>,
    /// Time limit for receiving the head of a request, idle time included, and again for its body,
    /// in milliseconds; 100 to 60000.
    pub receive_ms: u64,
    /// Requests in flight from one IP address; 1 to 1000000.
    pub requests_per_ip: u32,
    /// Requests in flight from all callers; 1 to 1000000.
    pub requests: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 262_144,
            body_memory_bytes: 48 << 20,
            connections: None,
            receive_ms: 5_000,
            requests_per_ip: 2_048,
            requests: 8_192,
        }
    }
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Unreadable`] if the file cannot be read, or an error of
    /// [`Self::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.display().to_string(),
            cause: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Malformed`] if the text cannot be parsed, and
    /// [`SettingsError::BadValue`] if a value is not allowed for its key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)
            .map_err(|error| SettingsError::Malformed { cause: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns example settings that contain every key.
    pub fn example() -> Self {
        let address = |port| SocketAddr::new(IpAddr::from([127, 0, 0, 1]), port);
        Self {
            node: NodeId::from("muc-a-1"),
            availability_zone: AvailabilityZone::from("muc-a"),
            installation: defaults::installation(),
            listen: ListenAddresses {
                caller: address(7001),
                peer: address(7002),
                operator: address(7003),
                metrics: address(7004),
            },
            platform: PlatformSettings {
                key_value: address(7900),
                call_limit_ms: defaults::call_limit_ms(),
            },
            seeds: vec![address(7012)],
            timing: NodeTiming::default(),
            caller_limits: CallerLimits::default(),
            logs: LogSettings::default(),
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        const NAME: &str = "1 to 63 of a-z, 0-9 and `-`";
        check_name("node", self.node.as_str(), NAME)?;
        check_name("availability_zone", self.availability_zone.as_str(), NAME)?;
        check_name("installation", &self.installation, NAME)?;
        self.listen.check()?;
        check_range(
            "platform.call_limit_ms",
            self.platform.call_limit_ms,
            50..=30_000,
            "50 to 30000 milliseconds",
        )?;
        self.timing.check()?;
        self.caller_limits.check()
    }
}

impl ListenAddresses {
    fn check(&self) -> Result<(), SettingsError> {
        const ALLOWED: &str =
            "an IP address that other nodes can connect to, and a port from 1 to 65535";
        let all = [
            ("listen.caller", self.caller),
            ("listen.peer", self.peer),
            ("listen.operator", self.operator),
            ("listen.metrics", self.metrics),
        ];
        for (key, address) in all {
            if address.port() == 0 || address.ip().is_unspecified() {
                return Err(SettingsError::BadValue {
                    key,
                    value: address.to_string(),
                    allowed: ALLOWED,
                });
            }
        }
        for (idx, (key, address)) in all.iter().enumerate() {
            if all[..idx].iter().any(|(_, other)| other == address) {
                return Err(SettingsError::BadValue {
                    key,
                    value: address.to_string(),
                    allowed: "an address that no other listener uses",
                });
            }
        }
        Ok(())
    }
}

impl NodeTiming {
    fn check(&self) -> Result<(), SettingsError> {
        let ranges = [
            ("timing.probe_period_ms", self.probe_period_ms, 100..=5_000, "100 to 5000"),
            ("timing.isolation_limit_ms", self.isolation_limit_ms, 1_000..=5_000, "1000 to 5000"),
            (
                "timing.address_lifetime_ms",
                self.address_lifetime_ms,
                500..=600_000,
                "500 to 600000",
            ),
            (
                "timing.session_lifetime_ms",
                self.session_lifetime_ms,
                10_000..=3_600_000,
                "10000 to 3600000",
            ),
            ("timing.watch_limit_ms", self.watch_limit_ms, 500..=60_000, "500 to 60000"),
            ("timing.upstream_status_ms", self.upstream_status_ms, 100..=10_000, "100 to 10000"),
            ("timing.pause_limit_ms", self.pause_limit_ms, 200..=5_000, "200 to 5000"),
            ("timing.drain_limit_ms", self.drain_limit_ms, 0..=600_000, "0 to 600000"),
        ];
        for (key, value, range, allowed) in ranges {
            check_range(key, value, range, allowed)?;
        }
        Ok(())
    }

    /// Returns the interval between membership probes.
    pub fn probe_period(&self) -> Duration {
        Duration::from_millis(self.probe_period_ms)
    }

    /// Returns the time after which a node that receives no replies, or has not applied a higher
    /// revision, stops admitting queries.
    pub fn isolation_limit(&self) -> Duration {
        Duration::from_millis(self.isolation_limit_ms)
    }

    /// Returns the longest wait of one watch call.
    pub fn watch_limit(&self) -> Duration {
        Duration::from_millis(self.watch_limit_ms)
    }
}

impl CallerLimits {
    fn check(&self) -> Result<(), SettingsError> {
        check_range(
            "caller_limits.body_bytes",
            self.body_bytes as u64,
            1_024..=16_777_216,
            "1024 to 16777216",
        )?;
        check_range(
            "caller_limits.body_memory_bytes",
            self.body_memory_bytes as u64,
            1_048_576..=17_179_869_184,
            "1048576 to 17179869184",
        )?;
        if self.body_memory_bytes < self.body_bytes {
            return Err(SettingsError::BadValue {
                key: "caller_limits.body_memory_bytes",
                value: self.body_memory_bytes.to_string(),
                allowed: "caller_limits.body_bytes or more",
            });
        }
        if let Some(connections) = self.connections {
            let range = 16..=1_000_000;
            let connections = u64::from(connections);
            check_range("caller_limits.connections", connections, range, "16 to 1000000")?;
        }
        check_range("caller_limits.receive_ms", self.receive_ms, 100..=60_000, "100 to 60000")?;
        check_range(
            "caller_limits.requests_per_ip",
            u64::from(self.requests_per_ip),
            1..=1_000_000,
            "1 to 1000000",
        )?;
        check_range(
            "caller_limits.requests",
            u64::from(self.requests),
            1..=1_000_000,
            "1 to 1000000",
        )
    }
}

fn check_name(key: &'static str, value: &str, allowed: &'static str) -> Result<(), SettingsError> {
    let is_valid_length = (1..=63).contains(&value.len());
    let has_valid_characters =
        value.bytes().all(|it| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-');
    if is_valid_length && has_valid_characters {
        return Ok(());
    }
    Err(SettingsError::BadValue { key, value: format!("{value:?}"), allowed })
}

fn check_range(
    key: &'static str,
    value: u64,
    range: std::ops::RangeInclusive<u64>,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::BadValue { key, value: value.to_string(), allowed })
}

mod defaults {
    pub(super) fn installation() -> String {
        "mustardmux".to_owned()
    }

    pub(super) fn call_limit_ms() -> u64 {
        2_000
    }
}
