//! Configuration from the platform: environment variables and the `LB_CONFIG` file, read at the start and reread on
//! SIGHUP.

use super::discovery::List;
use super::options::Options;
use crate::interface::Settings;
use crate::settings::PlatformConfig;
use serde::Deserialize;
use std::env;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

/// Why the courier cannot start.
#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Invalid(&'static str, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Invalid(name, why) => write!(f, "{name}: {}", why.replace('\n', " ")),
        }
    }
}

impl std::error::Error for ConfigError {}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// Default memory limit: the most that a courier is given.
fn default_memory_mb() -> f64 {
    192.0
}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    seed: String,
    discovery: Option<String>,
    admin_addr: Option<String>,
    limits: Limits,
    known: Option<List>,
    settings: PlatformConfig,
}

/// The complete configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The file that `LB_CONFIG` names.
    pub file: PathBuf,
    pub discovery: SocketAddr,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub listener: Option<RawFd>,
    /// The operators' address, if there is one.
    pub admin: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    /// What operators set beside the platform.
    pub options: Options,
    pub known: Option<List>,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

fn required(name: &'static str) -> Result<String, ConfigError> {
    match env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        Err(env::VarError::NotUnicode(_)) => Err(ConfigError::Invalid(name, "is not text".to_owned())),
        _ => Err(ConfigError::Missing(name)),
    }
}

/// An environment variable that need not be set.
fn optional(name: &'static str) -> Result<Option<String>, ConfigError> {
    match required(name) {
        Ok(value) => Ok(Some(value)),
        Err(ConfigError::Missing(_)) => Ok(None),
        Err(fault) => Err(fault),
    }
}

fn address(name: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(&required(name)?).map_err(|why| ConfigError::Invalid(name, why))
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is no address with a port"))
}

/// The seed is hexadecimal; any other text still gives one.
fn seed(text: &str) -> u64 {
    let mixed =
        || text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    u64::from_str_radix(text, 16).unwrap_or_else(|_| mixed())
}

impl ConfigFile {
    /// Reads and validates the file.
    fn read(path: &Path) -> Result<(Self, Settings, Option<SocketAddr>), ConfigError> {
        let bad = |why: String| ConfigError::Invalid("LB_CONFIG", format!("{}: {why}", path.display()));
        let page = fs::read(path).map_err(|e| bad(e.to_string()))?;
        let page: ConfigFile = serde_json::from_slice(&page).map_err(|e| bad(e.to_string()))?;
        let settings = page.settings.settings().map_err(|e| bad(format!("settings: {e}")))?;
        if page.limits.sockets < 64 || page.limits.disk_mb <= 0.0 {
            return Err(bad("limits: too few sockets or no disk".to_owned()));
        }
        let discovery = page.discovery.as_deref().map(parse_address).transpose();
        let discovery = discovery.map_err(|why| bad(format!("discovery: {why}")))?;
        Ok((page, settings, discovery))
    }
}

/// The address of discovery from the file as it is now. An error changes nothing.
pub fn reread_discovery(path: &Path) -> Result<Option<SocketAddr>, ConfigError> {
    ConfigFile::read(path).map(|(_, _, discovery)| discovery)
}

impl Config {
    pub fn read() -> Result<Self, ConfigError> {
        let (name, listen) = (required("LB_NAME")?, address("LB_LISTEN")?);
        let state = PathBuf::from(required("LB_STATE")?);
        if !state.is_dir() {
            return Err(ConfigError::Invalid("LB_STATE", format!("{} is no folder", state.display())));
        }
        let file = PathBuf::from(required("LB_CONFIG")?);
        let (page, settings, named) = ConfigFile::read(&file)?;
        // The file may have been replaced since the environment was set, so it holds where it names one: a
        // courier that restarts after a reload must not fall back to the address before.
        let discovery = match named {
            Some(discovery) => discovery,
            None => address("LB_DISCOVERY")?,
        };
        // Each process has its own, which the environment tells; the file may be shared.
        let admin = match optional("LB_ADMIN_ADDR")? {
            Some(admin) => {
                Some(parse_address(&admin).map_err(|why| ConfigError::Invalid("LB_ADMIN_ADDR", why))?)
            }
            None => {
                let admin =
                    page.admin_addr.as_deref().filter(|a| !a.is_empty()).map(parse_address).transpose();
                admin.map_err(|why| ConfigError::Invalid("admin_addr", why))?
            }
        };
        let descriptor = |number: String| {
            let descriptor = number.parse().ok().filter(|fd: &RawFd| *fd >= 0);
            descriptor
                .ok_or_else(|| ConfigError::Invalid("LB_LISTEN_FD", format!("{number:?} is no descriptor")))
        };
        let listener = optional("LB_LISTEN_FD")?.map(descriptor).transpose()?;
        let options = match optional("LB_OPTIONS")? {
            Some(path) => {
                Options::read(Path::new(&path)).map_err(|why| ConfigError::Invalid("LB_OPTIONS", why))?
            }
            None => Options::default(),
        };
        Ok(Config {
            name,
            listen,
            file,
            discovery,
            listener,
            admin,
            state,
            seed: seed(&page.seed),
            limits: page.limits,
            options,
            known: page.known,
            settings,
            classes: page.settings.class_names().map(str::to_owned).collect(),
            tenants: page.settings.tenant_names().map(str::to_owned).collect(),
            zones: page.settings.zone_names().to_vec(),
            kinds: page.settings.kind_names().to_vec(),
        })
    }
}
