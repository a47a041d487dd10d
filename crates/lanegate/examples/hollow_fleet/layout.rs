//! How large the fleet is, and where its parts are.

use crate::Outcome;
use lanegate_model::settings::Settings;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;

/// Lowest port that is tried; the system gives out those from 32768 on by itself.
const FIRST_PORT: u16 = 20_000;
/// Highest port that is tried.
const LAST_PORT: u16 = 32_000;

/// Size and places; fields that are left out have defaults.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Layout {
    pub controllers: u8,
    pub routers: usize,
    pub endpoints: usize,
    pub models: usize,
    /// Adapters of all models together.
    pub adapters: usize,
    pub routes: usize,
    /// Models in one second's demand report of one router.
    pub asked_models: usize,
    /// Requests that one router sees for each of them, a second.
    pub asked_requests: u32,
    /// Processes that the agents, and as many that the routers, are spread over.
    pub processes: usize,
    /// Length of the steady stretch that is measured, s.
    pub seconds: u64,
    /// Configuration changes whose way to the routers is timed.
    pub changes: u64,
    /// Routers that restart together in the end, with their agents.
    pub herd: usize,
    /// Time between heartbeats of an endpoint, ms.
    pub heartbeat_ms: u64,
    /// Filled in by [`Layout::place`].
    pub link_port: u16,
    pub control_port: u16,
    pub agent_ports: Vec<u16>,
    pub data: PathBuf,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            controllers: 3,
            routers: 40,
            endpoints: 60,
            models: 190,
            adapters: 52_000,
            routes: 400,
            asked_models: 6,
            asked_requests: 1,
            processes: 2,
            seconds: 10,
            changes: 3,
            herd: 35,
            heartbeat_ms: 1_200,
            link_port: 0,
            control_port: 0,
            agent_ports: Vec::new(),
            data: PathBuf::new(),
        }
    }
}

impl Layout {
    /// Finds ports that nobody uses.
    pub fn place(&mut self) -> Outcome<()> {
        let everywhere = |port: &u16| TcpListener::bind((Ipv4Addr::UNSPECIFIED, *port)).is_ok();
        let mut free = (FIRST_PORT..LAST_PORT).filter(everywhere);
        self.link_port = free.next().ok_or("no free port")?;
        self.control_port = free.next().ok_or("no free port")?;
        self.agent_ports = free.take(self.routers).collect();
        if self.agent_ports.len() < self.routers {
            return Err("too few free ports".into());
        }
        self.data = std::env::temp_dir().join(format!("lanegate-hollow-fleet-{}", std::process::id()));
        Ok(())
    }

    /// Control address of a controller; each has an IP of its own, as all use the same ports.
    pub fn control(&self, index: u8) -> SocketAddr {
        (Ipv4Addr::new(127, 0, 1, index + 1), self.control_port).into()
    }

    /// Where the endpoint of this number takes orders.
    pub fn endpoint(&self, index: usize) -> SocketAddr {
        let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
        (Ipv4Addr::new(127, 1, high, low), self.control_port).into()
    }

    /// Settings of a controller.
    pub fn controller_settings(&self, index: u8) -> Outcome<Settings> {
        let data = self.data.join(format!("controller-{index}"));
        std::fs::create_dir_all(&data)?;
        let control = self.control(index);
        let own = format!(
            "ListenersMap: {{ControlPlane: '{control}'}}\nBootstrap: true\nCountsForQuorum: true\nDataDir: {}\n",
            data.display()
        );
        self.settings(&format!("controller-{index}"), self.link_port, &own)
    }

    /// Settings of the agent and of the router of this number.
    pub fn router_settings(&self, index: usize) -> Outcome<Settings> {
        self.settings(&format!("router-{index}"), self.agent_ports[index], "")
    }

    fn settings(&self, name: &str, last_port: u16, own: &str) -> Outcome<Settings> {
        let seeds: Vec<String> =
            (0..self.controllers).map(|index| format!("'{}'", self.control(index))).collect();
        let (seeds, machines) = (seeds.join(", "), (self.controllers - 1) / 2);
        let (first_port, heartbeat) = (self.link_port, self.heartbeat_ms);
        let text = format!(
            "NodeName: {name}\nIp: 127.0.0.1\nZone: here\nPortRange: [{first_port}, {last_port}]\n\
             Seeds: [{seeds}]\nHeartbeatMs: {heartbeat}\nFaultTolerance: {{Machines: {machines}}}\n{own}"
        );
        Ok(Settings::from_yaml(&text)?)
    }
}
