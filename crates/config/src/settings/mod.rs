//! The settings file of a process (YAML, named by `LANEGATE_NODE_FILE`).

mod checks;
mod loading;

pub use checks::ProcessRole;
pub use loading::SettingsError;

use crate::findings::Findings;
use crate::lenient;
use crate::mechanism::SwitchedOff;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "LANEGATE_NODE_FILE";

/// Settings of one process; unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// Name of the process, unique in the system.
    pub node_name: String,
    /// Role that the process is meant for; only `lanegate check` reads it.
    #[serde(default)]
    pub role: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses for callers from outside.
    #[serde(default)]
    pub listeners_map: Listeners,
    /// First and last port that processes may use among themselves.
    pub port_range: (u16, u16),
    /// `ControlPlane` addresses of up to three machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True only at the first start of the system.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the machine counts for a majority, and so among those that [`FaultTolerance`] names: a controller on a
    /// machine that does not never joins a replica group. True if the file does not say.
    #[serde(default = "default_counts_for_quorum")]
    pub counts_for_quorum: bool,
    /// Resources that the machine grants the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Directory for data that has to survive a restart.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Time between two heartbeats of an endpoint, ms.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: f64,
    /// Simultaneous failures that the system has to tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Bounds of the platform's rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// Mechanisms that the command line switches off; not part of the file.
    #[serde(skip)]
    pub switched_off: SwitchedOff,
}

impl Settings {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or fields are missing, ill-typed or contradictory.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        loading::load(path)
    }

    /// Reads settings from the text of a settings file.
    ///
    /// # Errors
    /// Everything that is missing, ill-typed or contradictory.
    pub fn from_yaml(text: &str) -> Result<Self, Findings> {
        loading::from_yaml(text)
    }

    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// The variable is not set, or the file is not valid.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NotNamed)?;
        loading::load(Path::new(&path))
    }

    /// What these settings lack for a process of `role`.
    pub fn check_for(&self, role: ProcessRole) -> Findings {
        checks::check_for(self, role)
    }
}

fn default_heartbeat_ms() -> f64 {
    1_200.0
}

fn default_counts_for_quorum() -> bool {
    true
}

/// Addresses for what the process serves to callers from outside.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listeners {
    /// Requests of clients.
    pub frontend: Option<SocketAddr>,
    /// Readiness probes and metrics.
    pub readiness: Option<SocketAddr>,
    /// Operators, endpoints and other processes.
    pub control_plane: Option<SocketAddr>,
}

/// Resources that the machine grants the process.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ProcessLimits {
    /// Share of a core; not read.
    pub cpu_quota: f64,
    /// Number of cores; not read.
    #[serde(deserialize_with = "lenient::integer")]
    pub cores: u32,
    /// Memory, MB; not read.
    pub memory_mb: f64,
    /// Number of file descriptors that may be open.
    #[serde(deserialize_with = "lenient::integer")]
    pub max_fds: u32,
    /// Bandwidth of the network link, Mbit/s; not read.
    pub link_mbps: f64,
    /// Disk space, MB; not read.
    pub disk_mb: f64,
}

/// Simultaneous failures that the system has to tolerate: as many machines, or as many whole zones, or as many whole
/// regions. Controllers choose the size of a replica group, and spread its members, so that each of these leaves a
/// majority.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// Number of machines.
    #[serde(deserialize_with = "lenient::integer")]
    pub machines: u32,
    /// Number of zones, each with all of its machines.
    #[serde(deserialize_with = "lenient::integer")]
    pub zones: u32,
    /// Number of regions, each with all of its machines.
    #[serde(deserialize_with = "lenient::integer")]
    pub regions: u32,
}

/// Bounds of the platform's rules, with the defaults for those that a file does not name.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    /// `SeedLagS`, s; not read.
    pub seed_lag_s: f64,
    /// `ReuseAfterS`, s; not read.
    pub reuse_after_s: f64,
    /// Time without a connection after which a process counts as out of touch, ms; not read.
    pub contact_ms: f64,
    /// Time within which a change has to be acknowledged, ms; not read.
    pub ack_ms: f64,
    /// Time within which a group has to be complete after a loss, s; not read.
    pub catch_up_s: f64,
    /// Time within which routers have to stop sending to a draining endpoint, ms; not read.
    pub drain_ms: f64,
    /// Time from SIGTERM to the end of a process, s.
    pub grace_s: f64,
    /// `LossSlackMs`, ms; not read.
    pub loss_slack_ms: f64,
    /// Time within which routers have to apply an acknowledged configuration, ms; not read.
    pub config_apply_ms: f64,
    /// `RollbackSlackMs`, ms; not read, as a view never takes an older configuration.
    pub rollback_slack_ms: f64,
    /// `MaxStretchMs`, ms; not read.
    pub max_stretch_ms: f64,
    /// Retries per request in the retry window.
    pub retry_ratio: f64,
    /// Length of the retry window, s.
    pub retry_window_s: f64,
    /// Retries that are allowed beyond the ratio.
    pub retry_slack: f64,
    /// Time within which the system has to work again after faults, s; not read.
    pub recover_s: f64,
    /// `pass_ms`, ms; not read.
    #[serde(rename = "pass_ms")]
    pub pass_ms: f64,
    /// Whether endpoints refuse orders with a lower fencing token; not read, as orders always carry one.
    pub fencing: bool,
    /// Time that has to pass between the orders of two lease holders, ms.
    pub lease_ms: f64,
    /// `ThawMs`, ms; not read.
    pub thaw_ms: f64,
    /// Window in which loads from the weight store are counted, s.
    #[serde(rename = "CeilingWindowS")]
    pub rate_limit_window_s: f64,
    /// Factor by which the loads of a window may exceed the permitted rate.
    #[serde(rename = "CeilingOvershoot")]
    pub rate_limit_overshoot: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 3_000.0,
            ack_ms: 4_000.0,
            catch_up_s: 4.0,
            drain_ms: 2_000.0,
            grace_s: 8.0,
            loss_slack_ms: 200.0,
            config_apply_ms: 2_000.0,
            rollback_slack_ms: 250.0,
            max_stretch_ms: 5_000.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 0.0,
            recover_s: 12.0,
            pass_ms: 120.0,
            fencing: false,
            lease_ms: 3_000.0,
            thaw_ms: 300.0,
            rate_limit_window_s: 5.0,
            rate_limit_overshoot: 1.0,
        }
    }
}
