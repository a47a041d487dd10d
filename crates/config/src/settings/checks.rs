//! Checks of settings beyond the types of their fields.

use super::Settings;
use crate::findings::Findings;
use std::net::SocketAddr;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Routes requests.
    Router,
    /// Follows the controllers on behalf of the router of its machine.
    Agent,
    /// Holds a replica of the control state.
    Controller,
}

/// Findings that do not depend on the role.
pub(super) fn check(settings: &Settings) -> Findings {
    let mut findings = Findings::default();
    if settings.node_name.is_empty() {
        findings.add("NodeName", "is empty");
    }
    if settings.zone.is_empty() {
        findings.add("Zone", "is empty");
    }
    let (first, last) = settings.port_range;
    if first == 0 {
        findings.add("PortRange", "begins at 0");
    }
    if first > last {
        findings.add("PortRange", format!("first port {first} is above the last, {last}"));
    }
    if settings.heartbeat_ms.is_nan() || settings.heartbeat_ms <= 0.0 {
        findings.add("HeartbeatMs", format!("must be above 0, is {}", settings.heartbeat_ms));
    }
    findings
}

/// What is missing for a process of `role`.
pub(super) fn check_for(settings: &Settings, role: ProcessRole) -> Findings {
    let mut findings = Findings::default();
    let listeners = &settings.listeners_map;
    let mut require = |name: &str, listener: Option<SocketAddr>| {
        if listener.is_none() {
            findings.add(format!("ListenersMap.{name}"), format!("is missing, and {role:?} needs it"));
        }
    };
    match role {
        ProcessRole::Router => {
            require("Frontend", listeners.frontend);
            require("Readiness", listeners.readiness);
        }
        ProcessRole::Controller => require("ControlPlane", listeners.control_plane),
        ProcessRole::Agent => {}
    }
    if role == ProcessRole::Controller && settings.data_dir.is_none() {
        findings.add("DataDir", "is missing, and Controller needs it");
    }
    findings
}
