//! The platform's agent on each courier's machine: starts the real program, signals it, starts it again, and
//! sees what it holds. Every process ends with the lab, however the lab ends.

use super::clients::Side;
use super::discovery::Agent;
use super::link::Place;
use crate::draw;
use crate::event::{Recorder, What};
use crate::experiment::{EffectName, Experiment};
use anyhow::{Context, Result};
use rand::{Rng, RngCore};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::{BTreeSet, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::process::Command;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The operators' figures of a planned restart.
const KILL_AFTER: Duration = Duration::from_millis(3700);
const LEFT_AFTER: Duration = Duration::from_millis(300);
const START_AFTER: Duration = Duration::from_millis(600);
/// A successor has so long to say yes.
const REPLACED_WITHIN: Duration = Duration::from_secs(6);
/// An operators' call is answered within 1 s; it is waited for a little longer.
const OPERATORS_PATIENCE: Duration = Duration::from_millis(1500);
const OPERATORS_AGAIN: Duration = Duration::from_millis(500);
const OPERATORS_TRIES: usize = 20;
const SAMPLED_EVERY: Duration = Duration::from_millis(250);
/// The descriptor on which a shared listening socket is handed down.
const LISTEN_FD: i32 = 7;

/// Room for what a courier logs between two looks, and their distance.
const LOG_PIPE: usize = 1 << 20;
const LOG_EVERY: Duration = Duration::from_millis(5);
/// A part of a core is given in spans of this length, and looked after so often.
const RATION_SPAN: Duration = Duration::from_millis(20);
const RATION_LOOK: Duration = Duration::from_micros(500);
/// The lab's own priority: what it does late, it does not see the courier do.
const PRIORITY: i32 = -10;

/// Puts the lab before the processes that it judges, where it may; its lateness tells whether that sufficed.
pub fn come_first() {
    if let Err(e) = rustix::process::setpriority_process(None, PRIORITY) {
        tracing::info!("the lab runs at the usual priority: {e}");
    }
}

/// One process that runs.
struct Running {
    life: u32,
    pid: Pid,
    /// The lab has told it to end.
    told: Arc<AtomicBool>,
    ended: watch::Receiver<bool>,
    admin: Option<SocketAddr>,
}

/// One courier's machine.
pub struct Machine {
    pub courier: usize,
    pub side: Arc<Side>,
    pub agent: Arc<Agent>,
    place: Place,
    /// Where it is shared among processes.
    listener: Option<TcpListener>,
    /// Bound ahead: one for each of two processes.
    admins: Option<[Place; 2]>,
    program: PathBuf,
    folder: PathBuf,
    settings: Value,
    experiment: Arc<Experiment>,
    seed: u64,
    lives: AtomicU32,
    /// The one that serves is the last.
    running: Mutex<Vec<Running>>,
    /// Held from a kill to the start after it: another one waits for that.
    pub turn: tokio::sync::Mutex<()>,
    recorder: Recorder,
}

/// What a machine is made of.
pub struct Makings {
    pub courier: usize,
    pub zone: usize,
    pub agent: Arc<Agent>,
    pub program: PathBuf,
    /// The machine's own: state, configuration and log.
    pub folder: PathBuf,
    pub experiment: Arc<Experiment>,
    pub seed: u64,
    pub recorder: Recorder,
}

impl Machine {
    pub fn new(makings: Makings) -> Result<Arc<Self>> {
        let Makings { courier, zone, agent, program, folder, experiment, seed, recorder } = makings;
        fs::create_dir_all(folder.join("state")).with_context(|| folder.display().to_string())?;
        let place = Place::new()?;
        let shared = experiment.couriers.shared_socket;
        let listener = shared.then(|| place.listen()?.into_std()).transpose()?;
        let admins = match experiment.couriers.operators {
            true => Some([Place::new()?, Place::new()?]),
            false => None,
        };
        let side = Arc::new(Side::new(place.address));
        let settings = settings(&experiment, courier, zone);
        let (lives, running, turn) = (AtomicU32::new(0), Mutex::default(), Default::default());
        Ok(Arc::new(Machine {
            courier,
            side,
            agent,
            place,
            listener,
            admins,
            program,
            folder,
            settings,
            experiment,
            seed,
            lives,
            running,
            turn,
            recorder,
        }))
    }

    fn name(&self) -> String {
        format!("n{}", self.courier)
    }

    /// The file that is to be spoilt: of a journal in several one is drawn.
    fn journal(&self) -> Result<PathBuf> {
        let journal = self.folder.join("state/journal");
        if !journal.is_dir() {
            return Ok(journal);
        }
        let mut files: Vec<_> = fs::read_dir(&journal)?.flatten().map(|f| f.path()).collect();
        // What the courier keeps aside is not read again.
        files.retain(|f| f.file_name().is_some_and(|name| !name.to_string_lossy().starts_with("aside-")));
        anyhow::ensure!(!files.is_empty(), "{}: there is nothing to spoil", journal.display());
        files.sort();
        let purpose = format!("journal {} {}", self.name(), self.lives.load(SeqCst));
        let drawn = draw::generator(self.seed, &purpose).random_range(0..files.len());
        Ok(files.swap_remove(drawn))
    }

    /// Writes the configuration as the platform has it now.
    fn configure(&self) -> Result<PathBuf> {
        let couriers = &self.experiment.couriers;
        let seed =
            draw::generator(self.seed, &format!("{} {}", self.name(), self.lives.load(SeqCst))).next_u64();
        let page = json!({
            "name": self.name(),
            "listen": self.place.address.to_string(),
            "discovery": self.agent.address().to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": couriers.cores, "memory_mb": couriers.memory_mb, "sockets": couriers.sockets,
                "disk_mb": couriers.disk_mb},
            "known": self.agent.known(),
            "settings": self.settings,
        });
        let file = self.folder.join("config.json");
        // Replaced at once: a courier that reads it meanwhile has the one or the other.
        let next = self.folder.join("config.next");
        fs::write(&next, page.to_string())?;
        fs::rename(&next, &file)?;
        Ok(file)
    }

    fn options(&self) -> Result<Option<PathBuf>> {
        let Some(options) = &self.experiment.couriers.options else { return Ok(None) };
        let file = self.folder.join("options.toml");
        fs::write(&file, toml::to_string(options)?)?;
        Ok(Some(file))
    }

    /// Starts a process, which from now on is the one that serves.
    pub fn start(self: &Arc<Self>) -> Result<()> {
        let config = self.configure()?;
        let life = self.lives.fetch_add(1, SeqCst) + 1;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("LB_NAME", self.name())
            .env("LB_LISTEN", self.place.address.to_string())
            .env("LB_DISCOVERY", self.agent.address().to_string())
            .env("LB_STATE", self.folder.join("state"))
            .env("LB_CONFIG", config)
            .envs(self.options()?.map(|file| ("LB_OPTIONS", file)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let admin = self.admins.as_ref().map(|places| places[life as usize % 2].address);
        if let Some(admin) = admin {
            command.env("LB_ADMIN_ADDR", admin.to_string());
        }
        if self.listener.is_some() {
            command.env("LB_LISTEN_FD", LISTEN_FD.to_string());
        }
        let listener = self.listener.as_ref().map(|l| l.as_raw_fd());
        let sockets = self.experiment.couriers.sockets;
        let before = move || {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
            let limit = Rlimit { current: Some(sockets), maximum: Some(sockets) };
            rustix::process::setrlimit(Resource::Nofile, limit)?;
            rustix::process::setpriority_process(None, 0)?;
            if let Some(listener) = listener {
                hand_down(listener)?;
            }
            // A write beyond the limit on files then fails, as on a full disk, and kills nobody.
            // SAFETY: it sets a disposition that exec keeps.
            unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
            Ok(())
        };
        // SAFETY: between fork and exec it makes system calls only, and allocates nothing.
        unsafe { command.pre_exec(before) };
        let mut child = command.spawn().with_context(|| self.program.display().to_string())?;
        let pid = child.id().context("it has ended already")?;
        let pid = Pid::from_raw(pid as i32).context("no process id")?;
        // By a pipe, as a log is read; what is written to it does not count as the folder's. A thread of its own
        // reads it: a courier waits for whoever reads its log.
        if let Some(log) = child.stderr.take() {
            let mut file = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
            let mut log = std::fs::File::from(log.into_owned_fd()?);
            rustix::io::ioctl_fionbio(&log, false)?;
            let _ = rustix::pipe::fcntl_setpipe_size(&log, LOG_PIPE);
            std::thread::spawn(move || {
                let mut space = vec![0; LOG_PIPE];
                // Looked at now and then: a reader that is woken for each line costs more than the line.
                while let Ok(read @ 1..) = log.read(&mut space) {
                    if file.write_all(&space[..read]).is_err() {
                        break;
                    }
                    std::thread::sleep(LOG_EVERY);
                }
            });
        }
        let told = Arc::new(AtomicBool::new(false));
        let (over, ended) = watch::channel(false);
        self.recorder.note(What::Started {
            courier: self.courier,
            life,
            pid: pid.as_raw_nonzero().get() as u32,
        });
        let running = Running { life, pid, told: told.clone(), ended, admin };
        self.running.lock().expect("running").push(running);
        self.side.leaving.store(false, SeqCst);
        self.side.life.store(life, SeqCst);
        let this = self.clone();
        tokio::spawn(async move {
            let status = child.wait().await;
            this.running.lock().expect("running").retain(|r| r.life != life);
            let (code, signal) = status.map_or((None, None), |s| (s.code(), s.signal()));
            let (courier, told) = (this.courier, told.load(SeqCst));
            this.recorder.note(What::Exited { courier, life, code, signal, told });
            over.send_replace(true);
        });
        Ok(())
    }

    fn serving(&self) -> Option<(u32, Pid, Arc<AtomicBool>, Option<SocketAddr>)> {
        let running = self.running.lock().expect("running");
        running.last().map(|r| (r.life, r.pid, r.told.clone(), r.admin))
    }

    /// Signals the process that serves, or an earlier one.
    fn signal(&self, life: Option<u32>, signal: Signal, name: &str) {
        let running = self.running.lock().expect("running");
        let of = match life {
            Some(life) => running.iter().find(|r| r.life == life),
            None => running.last(),
        };
        let Some(of) = of else { return };
        if matches!(signal, Signal::TERM | Signal::KILL) {
            of.told.store(true, SeqCst);
        }
        let (courier, life) = (self.courier, of.life);
        self.recorder.note(What::Signalled { courier, life, signal: name.to_owned() });
        let _ = kill_process(of.pid, signal);
    }

    pub async fn kill(&self) {
        let lives: Vec<_> = self.running.lock().expect("running").iter().map(|r| r.life).collect();
        lives.iter().for_each(|life| self.signal(Some(*life), Signal::KILL, "KILL"));
        self.gone().await;
    }

    /// Waits until no process of it is left.
    async fn gone(&self) {
        loop {
            let ended = self.running.lock().expect("running").first().map(|r| r.ended.clone());
            let Some(mut ended) = ended else { return };
            let _ = ended.wait_for(|e| *e).await;
        }
    }

    /// SIGTERM, and SIGKILL where it does not end. New connections go on coming for a while.
    pub async fn stop(&self) {
        self.signal(None, Signal::TERM, "TERM");
        let end = async {
            if timeout(KILL_AFTER, self.gone()).await.is_err() {
                self.kill().await;
            }
        };
        let leave = async {
            sleep(LEFT_AFTER).await;
            self.side.leaving.store(true, SeqCst);
        };
        tokio::join!(end, leave);
    }

    pub async fn start_again(self: &Arc<Self>, after: Option<Duration>) {
        sleep(after.unwrap_or(START_AFTER)).await;
        if let Err(e) = self.start() {
            tracing::error!("{} does not start: {e:#}", self.name());
        }
    }

    /// Nothing more can be written to its folder, or something can again.
    pub fn fill_folder(&self, full: bool) -> Result<()> {
        let Some((_, pid, ..)) = self.serving() else { return Ok(()) };
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        rustix::process::prlimit(Some(pid), Resource::Fsize, limit)?;
        Ok(())
    }

    pub async fn pause(&self, lasts: Duration) {
        let Some((life, ..)) = self.serving() else { return };
        self.signal(Some(life), Signal::STOP, "STOP");
        sleep(lasts).await;
        self.signal(Some(life), Signal::CONT, "CONT");
    }

    /// Discovery moves; the courier is told by its file and SIGHUP.
    pub fn reload(&self) -> Result<()> {
        self.agent.move_away()?;
        self.configure()?;
        self.signal(None, Signal::HUP, "HUP");
        Ok(())
    }

    /// A second process takes the place of the one that serves.
    pub async fn replace(self: &Arc<Self>) -> Result<()> {
        let Some((old, ..)) = self.serving() else { return Ok(()) };
        self.start()?;
        let end = Instant::now() + REPLACED_WITHIN;
        while self.operate("GET", "/control/ready").await != Some(200) {
            anyhow::ensure!(Instant::now() < end, "{}: no successor was ready in time", self.name());
            sleep(Duration::from_millis(20)).await;
        }
        self.signal(Some(old), Signal::TERM, "TERM");
        sleep(KILL_AFTER).await;
        self.signal(Some(old), Signal::KILL, "KILL");
        Ok(())
    }

    /// An operators' call, made again while nobody answers it: the process may be about to start.
    pub async fn operate_until_answered(&self, path: &str) {
        for _ in 0..OPERATORS_TRIES {
            if self.operate("POST", path).await.is_some() {
                return;
            }
            sleep(OPERATORS_AGAIN).await;
        }
    }

    /// One operators' call to the process that serves. Looks, as for readiness, are not put on record.
    pub async fn operate(&self, method: &str, path: &str) -> Option<u16> {
        let admin = self.serving()?.3?;
        let from = Instant::now();
        let asked = async {
            let mut stream = tokio::net::TcpStream::connect(admin).await.ok()?;
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: o\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.ok()?;
            std::str::from_utf8(&answer[9..]).ok()?.parse().ok()
        };
        let status = timeout(OPERATORS_PATIENCE, asked).await.ok().flatten();
        if method != "GET" {
            let (took, call) = (from.elapsed().as_micros() as u64, format!("{method} {path}"));
            self.recorder.note(What::Operated { courier: self.courier, call, took, status });
        }
        status
    }

    /// Stops its processes for the rest of each span once they have had their part of a core in it, for as
    /// long as the run goes on.
    pub fn ration(self: &Arc<Self>) {
        let cores = self.experiment.couriers.cores;
        if cores >= 1.0 {
            return;
        }
        let machine = Arc::downgrade(self);
        std::thread::spawn(move || {
            let (most, mut before) = (RATION_SPAN.mul_f64(cores), HashMap::new());
            while let Some(machine) = machine.upgrade() {
                let end = std::time::Instant::now() + RATION_SPAN;
                let running: Vec<_> =
                    machine.running.lock().expect("running").iter().map(|r| r.pid).collect();
                drop(machine);
                let had: HashMap<_, _> = running.iter().filter_map(|p| Some((*p, cpu_time(*p)?))).collect();
                // What was had too much in the spans before counts in this one.
                let debt = |p: &Pid| before.get(p).copied().unwrap_or(had[p]);
                let base: HashMap<_, _> = had.keys().map(|p| (*p, debt(p))).collect();
                let used = || -> Duration {
                    let now = base.iter().filter_map(|(p, from)| Some(cpu_time(*p)?.saturating_sub(*from)));
                    now.sum()
                };
                let mut stopped = false;
                while std::time::Instant::now() < end {
                    if !stopped && used() >= most {
                        stopped = true;
                        base.keys().for_each(|p| _ = kill_process(*p, Signal::STOP));
                    }
                    std::thread::sleep(RATION_LOOK);
                }
                if stopped {
                    base.keys().for_each(|p| _ = kill_process(*p, Signal::CONT));
                }
                // The next span begins where this one's part ended, or where the process is if it had less.
                let share = most / base.len().max(1) as u32;
                before = base
                    .iter()
                    .filter_map(|(p, from)| Some((*p, cpu_time(*p)?.min(*from + share))))
                    .collect();
            }
        });
    }

    /// Notes what its processes hold, for as long as the run goes on.
    pub async fn sample(self: Arc<Self>) {
        loop {
            sleep(SAMPLED_EVERY).await;
            let running: Vec<_> = {
                let running = self.running.lock().expect("running");
                running.iter().map(|r| (r.life, r.pid.as_raw_nonzero().get())).collect()
            };
            let disk = disk(&self.folder.join("state"));
            for (life, pid) in running {
                let Some((rss, descriptors, cpu)) = held(pid) else { continue };
                let courier = self.courier;
                self.recorder.note(What::Sampled { courier, life, rss, descriptors, disk, cpu });
            }
        }
    }

    /// What the platform does to the folder that lasts, between two lives.
    pub fn lose_folder(&self) -> Result<()> {
        self.damaged("folder lost", Vec::new(), Vec::new());
        self.agent.folder_lost();
        let state = self.folder.join("state");
        fs::remove_dir_all(&state)?;
        Ok(fs::create_dir(&state)?)
    }

    fn damaged(&self, kind: &str, lost: Vec<String>, told: Vec<String>) {
        self.recorder.note(What::Damaged { courier: self.courier, kind: kind.to_owned(), lost, told });
    }

    /// What the courier's own commands say of its journal; nothing where it has none.
    fn look(&self, command: &str) -> Result<String> {
        let mut look = std::process::Command::new(&self.program);
        look.env_clear().args(["journal", command]).args((command == "show").then_some("--json"));
        let output = look.arg(self.folder.join("state")).output()?;
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    fn ids(&self) -> Result<BTreeSet<String>> {
        let ids =
            |line: &str| Some(serde_json::from_str::<Value>(line).ok()?.get("id")?.as_str()?.to_owned());
        Ok(self.look("show")?.lines().filter_map(ids).collect())
    }

    /// Spoils the journal. Those whose id could be read before and cannot any more have lost their own bytes;
    /// that it is damaged, the courier has to tell.
    pub fn spoil(&self, kind: &str, spoil: impl FnOnce(&Path) -> std::io::Result<()>) -> Result<()> {
        let before = self.ids()?;
        spoil(&self.journal()?)?;
        let lost = before.difference(&self.ids()?).cloned().collect();
        let told = self.look("check")?;
        let told = told.lines().filter(|line| line.starts_with("damaged: ")).map(str::to_owned).collect();
        self.damaged(kind, lost, told);
        Ok(())
    }

    pub fn truncate(&self, share: f64) -> Result<()> {
        self.spoil("journal cut", |file| {
            let file = fs::OpenOptions::new().write(true).open(file)?;
            file.set_len((file.metadata()?.len() as f64 * share) as u64)
        })
    }

    pub fn vanish(&self) -> Result<()> {
        self.spoil("journal file gone", |file| fs::remove_file(file))
    }

    /// Changes some bytes of the journal at the share of its length.
    fn rewrite(&self, kind: &str, share: f64, change: impl FnOnce(&mut [u8])) -> Result<()> {
        self.spoil(kind, |file| {
            let mut bytes = fs::read(file)?;
            let at = ((bytes.len() as f64 * share) as usize).min(bytes.len());
            change(&mut bytes[at..]);
            fs::write(file, bytes)
        })
    }

    pub fn flip(&self, share: f64) -> Result<()> {
        let purpose = format!("flip {} {}", self.courier, self.lives.load(SeqCst));
        let luck = draw::generator(self.seed, &purpose).random_range(0..8u8);
        self.rewrite("journal flipped", share, |bytes| {
            bytes.first_mut().into_iter().for_each(|b| *b ^= 1 << luck)
        })
    }

    pub fn zero(&self, share: f64) -> Result<()> {
        self.rewrite("journal zeroed", share, |bytes| bytes.iter_mut().take(512).for_each(|b| *b = 0))
    }
}

/// Puts the listening socket where the courier looks for it, without the mark that closes it at exec.
fn hand_down(listener: i32) -> std::io::Result<()> {
    use std::os::fd::{BorrowedFd, FromRawFd, IntoRawFd, OwnedFd};
    // SAFETY: the lab holds the listener open for the whole run; descriptor 7 of the new process is nobody's
    // yet but by chance, and what had it was to be closed by exec.
    let (from, mut to) = unsafe { (BorrowedFd::borrow_raw(listener), OwnedFd::from_raw_fd(LISTEN_FD)) };
    if listener == LISTEN_FD {
        rustix::io::fcntl_setfd(&to, rustix::io::FdFlags::empty())?;
    } else {
        rustix::io::dup2(from, &mut to)?;
    }
    let _ = to.into_raw_fd();
    Ok(())
}

/// Processor time that a process has had.
fn cpu_time(pid: Pid) -> Option<Duration> {
    let mut clock = 0;
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: both write to what they are given, and fail for a process that is gone.
    let read = unsafe {
        libc::clock_getcpuclockid(pid.as_raw_nonzero().get(), &mut clock) == 0
            && libc::clock_gettime(clock, &mut time) == 0
    };
    read.then(|| Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
}

/// KiB resident, descriptors, and milliseconds of processor time.
fn held(pid: i32) -> Option<(u64, u64, u64)> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let rss = rss.trim().trim_end_matches("kB").trim().parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // After the name, which may hold spaces: user and system time are the 12th and 13th fields, in ticks.
    let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some((rss, descriptors, ticks * 1000 / rustix::param::clock_ticks_per_second()))
}

/// Bytes of a folder's files and of those in its folders, each in whole 512.
fn disk(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let size = |entry: fs::DirEntry| match entry.metadata() {
        Ok(found) if found.is_dir() => disk(&entry.path()),
        Ok(found) if found.is_file() => found.len().div_ceil(512) * 512,
        _ => 0,
    };
    entries.map(size).sum()
}

/// The settings as the platform writes them.
fn settings(e: &Experiment, courier: usize, zone: usize) -> Value {
    let nanos = |seconds: f64| (seconds * 1e9).round() as u64;
    let lane = |c: &crate::experiment::Class| {
        let effect = match c.effect {
            EffectName::Repeatable => "repeatable",
            EffectName::ByKey => "by_key",
            EffectName::Once => "once",
        };
        json!({"name": c.name, "aim-ns": nanos(c.aim), "deadline-ns": nanos(c.deadline), "credit": c.worth,
            "late-share": c.late_share, "effect": effect, "key-scope": c.key_scope,
            "key-ttl-ns": nanos(c.key_ttl), "streamed": false})
    };
    let there = &e.destinations;
    let customers: Vec<_> = e.tenant.iter().map(|t| json!({"name": t.name, "share": t.share})).collect();
    json!({
        "callers": {"marks-retry": true},
        "costs": {"handshake": 0.06, "late-fail": 0.03, "waste": 0.08},
        "customers": customers,
        "dcs": e.zones,
        "family-info": {"bundle-max": [1], "fee-by-zone": vec![0.0; e.zones.len()], "loses-worth": "line",
            "refusal-cost": 0.0, "separate-routes": [false], "slots": e.couriers.slots},
        "lanes": e.class.iter().map(lane).collect::<Vec<_>>(),
        "limits": {"cancel": true, "connect-timeout-ns": nanos(1.5), "keepalive-ns": nanos(5.0),
            "max-open": e.couriers.held, "max-retry-after-ns": nanos(3.0), "max-streams": 1, "peers": false,
            "probing": false, "retry-after": true, "second-copies": false, "send-cap": draw::ATTEMPTS_MOST},
        "membership-mode": "automatic",
        "rules": {"ask-within-ns": nanos(10.0), "cold-from": there.cold_from, "cold-ns": nanos(there.cold),
            "drain-grace-ns": nanos(draw::DRAIN_GRACE), "fall-multiple": there.fall_multiple,
            "fall-ns": nanos(there.fall), "grace-to-answer-ns": nanos(0.02)},
        "self-index": courier,
        "siblings": e.couriers.count,
        "skus": ["partners"],
        "stats": {"fields": [], "how": "none"},
        "tick-ns": nanos(0.005),
        "weight-kind": "nominal",
        "zone": zone,
    })
}
