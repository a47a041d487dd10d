//! Router, agent and controller, each on its own thread.

use crate::Outcome;
use lanegate_config::settings::Settings;
use lanegate_controller::{feed_client, run_agent, run_controller};
use std::error::Error;
use std::fmt::Display;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

/// Machine of the router and its agent.
const EDGE_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
/// Machine of the controller. It has its own address because all machines use the same ports.
const CORE_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Addresses of the processes.
pub(crate) struct Addresses {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    links: u16,
}

impl Addresses {
    /// Picks ports that no process listens on.
    pub(crate) fn unused() -> io::Result<Self> {
        let ports: Vec<TcpListener> = (0..4).map(|_| unused_port()).collect::<io::Result<_>>()?;
        let port = |index: usize| ports[index].local_addr().map(|address| address.port());
        Ok(Addresses {
            frontend: (EDGE_IP, port(0)?).into(),
            readiness: (EDGE_IP, port(1)?).into(),
            control: (CORE_IP, port(2)?).into(),
            links: port(3)?,
        })
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, data: &Path) -> Outcome<Settings> {
        let Addresses { frontend, readiness, control, links } = self;
        let text = format!(
            "NodeName: {name}\nIp: {ip}\nZone: here\nPortRange: [{links}, {links}]\nSeeds: ['{control}']\n\
             ListenersMap: {{Frontend: '{frontend}', Readiness: '{readiness}', ControlPlane: '{control}'}}\n\
             Bootstrap: true\nCountsForQuorum: true\nDataDir: {}\n",
            data.display()
        );
        Ok(Settings::from_yaml(&text)?)
    }
}

/// Binds a port that is free on both addresses.
fn unused_port() -> io::Result<TcpListener> {
    loop {
        let listener = TcpListener::bind((EDGE_IP, 0))?;
        if TcpListener::bind((CORE_IP, listener.local_addr()?.port())).is_ok() {
            return Ok(listener);
        }
    }
}

/// Starts all three processes.
pub(crate) fn start(addresses: &Addresses, data: &Path) -> Outcome<()> {
    run("controller", addresses.settings("core-1", CORE_IP, data)?, |settings| {
        run_controller(settings, None)
    });
    let edge = addresses.settings("edge-1", EDGE_IP, data)?;
    run("agent", edge.clone(), |settings| run_agent(settings, None));
    run("router", edge, router);
    Ok(())
}

async fn router(settings: Settings) -> Result<(), lanegate_router::RouterError> {
    let (events, feed) = unbounded_channel();
    let (demand, reports) = unbounded_channel();
    spawn_local(feed_client(settings.clone(), events, reports));
    lanegate_router::run(settings, feed, demand, None).await
}

fn run<F, E>(name: &'static str, settings: Settings, process: impl FnOnce(Settings) -> F + Send + 'static)
where
    F: Future<Output = Result<(), E>>,
    E: Error + Display,
{
    thread::spawn(move || match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => match LocalSet::new().block_on(&runtime, process(settings)) {
            Ok(()) => println!("{name}: ended"),
            Err(error) => println!("{name}: {error}"),
        },
        Err(error) => println!("{name}: {error}"),
    });
}
