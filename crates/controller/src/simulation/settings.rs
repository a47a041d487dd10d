//! Settings files of simulated processes.

use super::host::{Host, LINK_PORT};
use lanegate_config::mechanism::SwitchedOff;
use lanegate_config::settings::{Bounds, Settings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Last port of the range for links, on which agents accept their routers.
const LAST_PORT: u16 = 7100;

/// Number of zones whose loss has to be survived in a simulation with zones.
const TOLERATED_ZONES: u32 = 1;

/// Settings of a process at `host`.
pub(super) fn settings(host: Host, seeds: &[usize], tolerance: u32, bootstrap: bool) -> Settings {
    let control = matches!(host, Host::Controller(_)).then(|| host.address());
    Settings {
        node_name: host.node_name(),
        role: String::new(),
        ip: host.address().ip(),
        zone: "zone".to_owned(),
        region: String::new(),
        zones: Default::default(),
        listeners_map: lanegate_config::settings::Listeners { control_plane: control, ..Default::default() },
        port_range: (LINK_PORT, LAST_PORT),
        seeds: seed_addresses(seeds),
        bootstrap,
        counts_for_quorum: control.is_some(),
        limits: Default::default(),
        data_dir: Some(PathBuf::from("data")),
        heartbeat_ms: super::endpoint::HEARTBEAT.as_secs_f64() * 1e3,
        fault_tolerance: lanegate_config::settings::FaultTolerance {
            machines: tolerance,
            ..Default::default()
        },
        bounds: Bounds::default(),
        switched_off: SwitchedOff::default(),
    }
}

/// Puts a machine into a zone, and requires that the loss of one zone is survived.
pub(super) fn set_zone(settings: &mut Settings, zone: usize) {
    settings.zone = format!("zone-{zone}");
    settings.fault_tolerance.zones = TOLERATED_ZONES;
}

/// Control addresses of controllers.
pub(super) fn seed_addresses(seeds: &[usize]) -> Vec<SocketAddr> {
    seeds.iter().map(|index| Host::Controller(*index).address()).collect()
}
