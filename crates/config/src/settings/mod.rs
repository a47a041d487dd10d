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
    pub node_name: String,
    #[serde(default)]
    pub role: String,
    pub ip: IpAddr,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub listeners_map: Listeners,
    /// First and last port free for what processes say to one another.
    pub port_range: (u16, u16),
    /// `ControlPlane` addresses of up to three machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// True only at the first start of the whole system.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub counts_for_quorum: bool,
    #[serde(default)]
    pub limits: ProcessLimits,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: f64,
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    #[serde(default)]
    pub bounds: Bounds,
    /// Mechanisms that the command line switches off; no part of the file.
    #[serde(skip)]
    pub switched_off: SwitchedOff,
}

impl Settings {
    /// Reads the settings file at `path`; names everything that is missing or ill-typed at once.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        loading::load(path)
    }

    /// Reads settings from the text of a settings file.
    pub fn from_yaml(text: &str) -> Result<Self, Findings> {
        loading::from_yaml(text)
    }

    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
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

/// Addresses for what the process serves to callers from outside.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listeners {
    pub frontend: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control_plane: Option<SocketAddr>,
}

/// What the machine grants the process.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ProcessLimits {
    pub cpu_quota: f64,
    #[serde(deserialize_with = "lenient::integer")]
    pub cores: u32,
    pub memory_mb: f64,
    #[serde(deserialize_with = "lenient::integer")]
    pub max_fds: u32,
    pub link_mbps: f64,
    pub disk_mb: f64,
}

/// What may be lost at once while all rules are kept.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    #[serde(deserialize_with = "lenient::integer")]
    pub machines: u32,
    #[serde(deserialize_with = "lenient::integer")]
    pub zones: u32,
    #[serde(deserialize_with = "lenient::integer")]
    pub regions: u32,
}

/// Figures of the rules in force; the defaults hold where a file names none.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    pub seed_lag_s: f64,
    pub reuse_after_s: f64,
    pub contact_ms: f64,
    pub ack_ms: f64,
    pub catch_up_s: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub loss_slack_ms: f64,
    pub config_apply_ms: f64,
    pub rollback_slack_ms: f64,
    pub max_stretch_ms: f64,
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    pub retry_slack: f64,
    pub recover_s: f64,
    #[serde(rename = "pass_ms")]
    pub pass_ms: f64,
    pub fencing: bool,
    pub lease_ms: f64,
    pub thaw_ms: f64,
    #[serde(rename = "CeilingWindowS")]
    pub rate_limit_window_s: f64,
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
