//! Where everything is: each machine has a loopback address of its own, and all use the same ports.
//!
//! Links inside the control plane pass through relays: a process dials the link port of its own settings at the
//! other's address, so each process gets a link port of its own and a relay listens there for it.

use crate::names::Place;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::{fs, io};

/// Port of clients.
const FRONTEND_PORT: u16 = 8_144;
/// Port of the question for readiness.
const READINESS_PORT: u16 = 8_140;
/// Port of the control interface.
const CONTROL_PORT: u16 = 8_146;
/// Port of endpoints.
const ENDPOINT_PORT: u16 = 8_080;
/// Link ports of controllers begin after this one, those of agents after the second.
const CONTROLLER_LINKS: u16 = 7_700;
const AGENT_LINKS: u16 = 7_720;
/// First port on which an agent feeds its router; all agents share one address, so each network has its own
/// ports. The system gives out those from 32,768 on.
const FIRST_FEED_PORT: u16 = 20_000;
/// Feed ports of one network.
const FEED_PORTS: u16 = 8;
/// Networks that may be used at once: their feed ports end at 32,000.
const NETWORKS: u16 = 1_500;
/// Second part of the address of the first network; each has 256 addresses.
const FIRST_NETWORK: u8 = 20;
/// Last part of the address that reserves a network.
const RESERVATION: u8 = 250;
/// Zones; machines take turns.
pub const ZONES: [&str; 3] = ["east", "north", "west"];
/// Time between heartbeats, ms.
pub const HEARTBEAT_MS: u64 = 1_000;
/// `GraceS`: time from SIGTERM to SIGKILL, s.
pub const GRACE_S: u64 = 8;
/// `DrainMs`: time for which a draining endpoint still gets requests, ms.
pub const DRAIN_MS: u64 = 2_000;
/// `ContactMs`: time after a trouble for which a machine may still be out of touch, ms.
pub const CONTACT_MS: u64 = 3_000;
/// `ConfigApplyMs`: time in which a configuration is in force everywhere, ms.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// `LeaseMs`: time between the orders of two holders, ms.
pub const LEASE_MS: u64 = 3_000;
/// `ThawMs`: time after a freeze or a cut in which orders do not count, ms.
pub const THAW_MS: u64 = 300;

/// Size and places of a system.
#[derive(Debug, Clone)]
pub struct Layout {
    pub controllers: u8,
    pub routers: u8,
    pub endpoints: u8,
    network: u16,
    /// Keeps other runs from using the network.
    _reservation: Rc<TcpListener>,
    /// Settings, data and logs of this run.
    pub folder: PathBuf,
}

impl Layout {
    /// Finds a network and ports that no other run uses, and makes the folder.
    pub fn place(controllers: u8, routers: u8, endpoints: u8, folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let first = std::process::id() as u16 % NETWORKS;
        let mut candidates = (0..NETWORKS).map(|step| (first + step) % NETWORKS);
        let reserved = candidates.find_map(|network| Some((network, reserve(network, routers)?)));
        let (network, reservation) = reserved.ok_or(io::ErrorKind::AddrInUse)?;
        Ok(Layout { controllers, routers, endpoints, network, _reservation: Rc::new(reservation), folder })
    }

    fn address(&self, last: u8) -> Ipv4Addr {
        address(self.network, last)
    }

    /// Address of the machine of a process or stand-in.
    pub fn ip(&self, place: Place) -> Ipv4Addr {
        match place {
            Place::Controller(number) => self.address(number),
            Place::Router(number) | Place::Agent(number) => self.address(20 + number),
            Place::Endpoint(number) => self.address(100 + number),
        }
    }

    /// Zone of that machine.
    pub fn zone(&self, place: Place) -> &'static str {
        let (Place::Controller(number)
        | Place::Router(number)
        | Place::Agent(number)
        | Place::Endpoint(number)) = place;
        ZONES[usize::from(number - 1) % ZONES.len()]
    }

    /// Where clients reach a router.
    pub fn frontend(&self, router: u8) -> SocketAddr {
        (self.ip(Place::Router(router)), FRONTEND_PORT).into()
    }

    /// Where the platform asks a router whether it is ready.
    pub fn readiness(&self, router: u8) -> SocketAddr {
        (self.ip(Place::Router(router)), READINESS_PORT).into()
    }

    /// Where endpoints and operators reach a controller.
    pub fn control(&self, controller: u8) -> SocketAddr {
        (self.ip(Place::Controller(controller)), CONTROL_PORT).into()
    }

    /// The controller whose control interface is there.
    pub fn controller_at(&self, ip: IpAddr) -> Option<u8> {
        (1..=self.controllers).find(|number| IpAddr::from(self.ip(Place::Controller(*number))) == ip)
    }

    /// Where an endpoint takes requests and orders.
    pub fn endpoint(&self, endpoint: u8) -> SocketAddr {
        (self.ip(Place::Endpoint(endpoint)), ENDPOINT_PORT).into()
    }

    /// Where the links that `from` opens to `controller` arrive.
    pub fn link(&self, from: Place, controller: u8) -> SocketAddr {
        (self.ip(Place::Controller(controller)), link_port(from)).into()
    }

    /// Every link that goes through a relay: who opens it, and to which controller.
    pub fn links(&self) -> Vec<(Place, u8)> {
        let controllers = (1..=self.controllers).map(Place::Controller);
        let agents = (1..=self.routers).map(Place::Agent);
        let all = controllers.chain(agents).flat_map(|from| (1..=self.controllers).map(move |to| (from, to)));
        all.filter(|(from, to)| *from != Place::Controller(*to)).collect()
    }

    /// Every process.
    pub fn processes(&self) -> Vec<Place> {
        let controllers = (1..=self.controllers).map(Place::Controller);
        let routers = (1..=self.routers).flat_map(|number| [Place::Agent(number), Place::Router(number)]);
        controllers.chain(routers).collect()
    }

    /// File of the log of a process.
    pub fn log(&self, place: Place) -> PathBuf {
        self.folder.join(format!("{place}.log"))
    }

    /// Writes the settings file of a process; `bootstrap` at the first start of the whole system.
    pub fn write_settings(&self, place: Place, bootstrap: bool) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{place}.yaml"));
        let own = match place {
            Place::Controller(number) => self.controller_settings(number)?,
            Place::Router(number) | Place::Agent(number) => self.edge_settings(number),
            Place::Endpoint(_) => String::new(),
        };
        fs::write(&path, self.common_settings(place, bootstrap) + &own)?;
        Ok(path)
    }

    fn common_settings(&self, place: Place, bootstrap: bool) -> String {
        let seeds: Vec<String> =
            (1..=self.controllers).map(|number| format!("'{}'", self.control(number))).collect();
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("{zone}: here")).collect();
        let (seeds, zones) = (seeds.join(", "), zones.join(", "));
        let (ip, zone, machines) = (self.ip(place), self.zone(place), (self.controllers - 1) / 2);
        format!(
            "NodeName: {place}\nIp: {ip}\nZone: {zone}\nRegion: here\nZones: {{{zones}}}\nSeeds: [{seeds}]\n\
             Bootstrap: {bootstrap}\nHeartbeatMs: {HEARTBEAT_MS}\nFaultTolerance: {{Machines: {machines}}}\n\
             Bounds: {{ContactMs: {CONTACT_MS}, DrainMs: {DRAIN_MS}, GraceS: {GRACE_S}, \
             ConfigApplyMs: {CONFIG_APPLY_MS}, RetrySlack: 60, LeaseMs: {LEASE_MS}, ThawMs: {THAW_MS}}}\n"
        )
    }

    fn controller_settings(&self, number: u8) -> io::Result<String> {
        let data = self.data(number);
        fs::create_dir_all(&data)?;
        let (control, port) = (self.control(number), link_port(Place::Controller(number)));
        Ok(format!(
            "ListenersMap: {{ControlPlane: '{control}'}}\nPortRange: [{port}, {}]\nCountsForQuorum: true\n\
             DataDir: {}\n",
            port + 1,
            data.display()
        ))
    }

    /// Data folder of a controller.
    pub fn data(&self, controller: u8) -> PathBuf {
        self.folder.join(format!("data-{controller}"))
    }

    fn edge_settings(&self, number: u8) -> String {
        let (frontend, readiness) = (self.frontend(number), self.readiness(number));
        let (first, last) = (link_port(Place::Agent(number)), feed_port(self.network, number));
        format!(
            "ListenersMap: {{Frontend: '{frontend}', Readiness: '{readiness}'}}\nPortRange: [{first}, {last}]\n\
             CountsForQuorum: false\nLimits: {{CpuQuota: 0.5, Cores: 1, MemoryMb: 260, MaxFds: 1000}}\n"
        )
    }
}

/// The port of links in the settings of a process.
fn link_port(place: Place) -> u16 {
    match place {
        Place::Controller(number) => CONTROLLER_LINKS + u16::from(number) * 2,
        Place::Agent(number) | Place::Router(number) => AGENT_LINKS + u16::from(number),
        Place::Endpoint(_) => 0,
    }
}

fn address(network: u16, last: u8) -> Ipv4Addr {
    let [high, low] = network.to_be_bytes();
    Ipv4Addr::new(127, FIRST_NETWORK + high, low, last)
}

/// Where the agent of this number feeds its router.
fn feed_port(network: u16, number: u8) -> u16 {
    FIRST_FEED_PORT + network * FEED_PORTS + u16::from(number - 1)
}

/// Reserves a network, if nobody has it and its feed ports are free.
fn reserve(network: u16, routers: u8) -> Option<TcpListener> {
    let reservation = TcpListener::bind((address(network, RESERVATION), CONTROL_PORT)).ok()?;
    let is_free = |number| TcpListener::bind((Ipv4Addr::LOCALHOST, feed_port(network, number))).is_ok();
    (1..=routers).all(is_free).then_some(reservation)
}

/// The name of the folder of one run.
pub fn run_folder(root: &Path, seed: u64) -> PathBuf {
    root.join(format!("{seed}"))
}
