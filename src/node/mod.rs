//! The courier process: the scheduler on real sockets. `courier` owns the scheduler; the other modules send it input.

mod calls;
mod channel;
mod commit;
mod config;
mod courier;
mod discovery;
#[cfg(test)]
mod golden_test;
mod handover;
mod input;
mod intake;
pub mod journal;
mod link;
mod log;
pub mod offline;
mod old_journal;
mod operators;
mod options;
mod outcomes;
mod record_codec;
mod register;

use crate::scheduler::Scheduler;
use calls::Calls;
use config::{Config, ConfigError};
use courier::{Courier, End, STOP_CLOSING, STOP_LISTENING};
use input::Input;
use intake::{Intake, IntakeState};
use journal::{Journal, JournalOptions, Recovery};
use log::log_line;
use options::OnDamage;
use register::Register;
use socket2::SockRef;
use std::io;
use std::os::fd::BorrowedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Input that may wait for the courier.
const INBOX: usize = 1024;
/// Descriptors for neither clients nor endpoints.
const SPARE_SOCKETS: usize = 32;
const BACKLOG: u32 = 1024;
/// Damaged places that are logged one by one.
const DAMAGE_TOLD: usize = 32;
/// Share of the memory that bodies of clients may take while they are read.
const BODIES_SHARE: f64 = 0.125;
/// Share of the endpoints' limit for which a connection may stand idle here.
const KEEP_SHARE: f64 = 0.75;

/// Reads the configuration, then serves until SIGTERM.
pub fn run() -> Result<(), ConfigError> {
    let mut config = Config::read()?;
    let register = Register::new(&config.state, config.options.store.durability);
    // Opened early, so that operators learn at once that this process does not serve clients yet.
    if let Some(admin) = config.admin {
        let opened = operators::open(admin, config.limits.sockets, register.clone());
        opened.map_err(|e| ConfigError::Invalid("LB_ADMIN_ADDR", e.to_string()))?;
    }
    loop {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| ConfigError::Invalid("runtime", e.to_string()))?;
        // Dropping the set ends all its tasks and closes their sockets.
        match LocalSet::new().block_on(&runtime, serve(config, register.clone()))? {
            End::SuccessorExited => log_line!("starting anew"),
            _ => return Ok(()),
        }
        config = Config::read()?;
    }
}

/// The clients' address: bound here, or a socket that the platform holds and that outlasts this process.
fn listen(config: &Config) -> io::Result<TcpListener> {
    let Some(descriptor) = config.listener else {
        let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // The address of the process before this one may still be in use by its last connections.
        socket.set_reuseaddr(true)?;
        socket.bind(config.listen)?;
        return socket.listen(BACKLOG);
    };
    // SAFETY: the platform hands this descriptor down and nothing here closes it.
    let held = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let own = held.try_clone_to_owned()?;
    if !SockRef::from(&own).is_listener()? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "it does not listen"));
    }
    let listener = std::net::TcpListener::from(own);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

fn on(kind: SignalKind, name: &'static str) -> Result<Signal, ConfigError> {
    signal(kind).map_err(|e| ConfigError::Invalid(name, e.to_string()))
}

/// Reads the configuration again at each SIGHUP. A file that cannot be read changes nothing.
async fn reload(mut hangup: Signal, file: PathBuf, inputs: mpsc::Sender<Input>) {
    while hangup.recv().await.is_some() {
        match config::reread_discovery(&file) {
            Ok(Some(discovery)) => {
                log_line!("configuration read again: discovery at {discovery}");
                let _ = inputs.send(Input::DiscoveryMoved(discovery)).await;
            }
            Ok(None) => log_line!("configuration read again: it names no discovery"),
            Err(fault) => log_line!("configuration not read again, the old one stays: {fault}"),
        }
    }
}

/// Logs the damage found during recovery.
fn tell(recovery: &Recovery) {
    for damage in recovery.damage.iter().take(DAMAGE_TOLD) {
        log_line!("journal: damaged: {damage}");
    }
    if let Some(cut) = &recovery.cut {
        log_line!("journal: {cut}");
    }
    if let Some(summary) = recovery.summary() {
        log_line!("journal: {summary}");
    }
}

/// Serves one tenure, from waiting for the lock to its release.
async fn serve(mut config: Config, register: Arc<Register>) -> Result<End, ConfigError> {
    // Installed first: without a handler either signal terminates the process.
    let mut terminate = on(SignalKind::terminate(), "SIGTERM")?;
    let hangup = on(SignalKind::hangup(), "SIGHUP")?;
    let keep = config.settings.keepalive.mul_f64(KEEP_SHARE);
    // The scheduler must assume the idle time used by the connection pool.
    config.settings.keepalive = keep;
    let scheduler = Scheduler::new(config.settings.clone(), config.seed);
    let scheduler = scheduler.map_err(|e| ConfigError::Invalid("LB_CONFIG", e))?;
    // Before the serving process is contacted: a process that cannot listen must not replace it.
    let listener = listen(&config).map_err(|e| ConfigError::Invalid("LB_LISTEN", e.to_string()))?;
    let at = listener.local_addr().map_err(|e| ConfigError::Invalid("LB_LISTEN", e.to_string()))?;
    let state = |e: io::Error| ConfigError::Invalid("LB_STATE", e.to_string());
    // Another process comes only where the platform hands the listening socket down.
    let shared = config.listener.is_some();
    let (tenure, predecessor) = tokio::select! {
        taken = handover::take_over(&config.state, shared, &config.settings, config.seed) => {
            taken.map_err(state)?
        }
        _ = terminate.recv() => return Ok(End::Stopped),
    };
    register.load().map_err(|e| ConfigError::Invalid("LB_STATE", format!("what operators have set: {e}")))?;
    let store = config.options.store;
    let journal_options = JournalOptions {
        room: ((config.limits.disk_mb * 1e6) as u64).saturating_sub(register::MAX_DISK),
        durability: store.durability,
        refuse_damage: store.on_damage == OnDamage::Refuse,
    };
    let (journal, recovery) = Journal::open(&config.state, journal_options, config.seed).map_err(state)?;
    tell(&recovery);
    let (inputs, mut inbox) = mpsc::channel(INBOX);
    let for_calls = (config.limits.sockets / 3).max(16);
    let for_operators = config.admin.map_or(0, |_| operators::sockets(config.limits.sockets));
    let for_clients = config.limits.sockets.saturating_sub(for_calls + SPARE_SOCKETS + for_operators).max(8);
    let calls = Calls::new(config.settings.connect_timeout, keep, for_calls, register.clone());
    let intake_state = Rc::new(IntakeState::new(register.clone()));
    let (name, kept) = (config.name.clone(), journal.count());
    let intake = Rc::new(Intake {
        classes: config.classes.clone(),
        tenants: config.tenants.clone(),
        intake_state: intake_state.clone(),
        inputs: inputs.clone(),
        sockets: for_clients,
        bodies: (config.limits.memory_mb * 1e6 * BODIES_SHARE) as usize,
    });
    let folder = config.state.clone();
    tokio::task::spawn_local(reload(hangup, config.file.clone(), inputs.clone()));
    let mut courier =
        Courier::new(config, scheduler, journal, recovery.last, calls, intake_state.clone(), inputs.clone());
    match predecessor {
        Some(predecessor) => predecessor.resume_into(&mut courier, intake.clone(), register.clone()),
        None => courier.begin(),
    }
    let mut changes = register.serve();
    intake_state.ready.set(true);
    let accepting = tokio::task::spawn_local(intake.run(listener));
    let (to_stop, stopped, stops) = (inputs.clone(), register.clone(), intake_state.clone());
    tokio::task::spawn_local(async move {
        if terminate.recv().await.is_some() {
            log_line!("stopping");
            stopped.end();
            let _ = to_stop.send(Input::Stop).await;
            tokio::time::sleep(STOP_LISTENING).await;
            stops.shut();
            tokio::time::sleep(STOP_CLOSING - STOP_LISTENING).await;
            stops.close();
        }
    });
    let successors = shared.then(|| handover::listen(&folder, inputs)).transpose();
    let successors = successors.inspect_err(|e| log_line!("handover: no successor can be heard: {e}"));
    log_line!("{name} serves {at}; {kept} messages resumed");
    let mut tenure = Some(tenure);
    let successor = loop {
        let mut successor = match courier.run(&mut inbox, &mut changes).await {
            End::HandoverReady(successor) => successor,
            end => return Ok(end),
        };
        // Block operators' changes until it is decided which process records them.
        let held = register.block_changes().await;
        if courier.hand_over(&mut successor, &mut tenure).await {
            break (successor, register.forward(), held);
        }
        intake_state.release();
    };
    let (successor, forwards, held) = successor;
    drop(held);
    successors.into_iter().flatten().for_each(|task| task.abort());
    accepting.abort();
    let (pass, clients) = mpsc::unbounded_channel();
    intake_state.pass_on(pass);
    Ok(courier.drain_after_handover(successor, inbox, clients, forwards).await)
}
