//! The world of a run, put up and moved along its timeline.

pub mod clients;
pub mod discovery;
pub mod endpoint;
pub mod link;
pub mod process;

use crate::draw::{Move, World};
use crate::event::{Health, Recorder, What};
use crate::experiment::{Act, EffectName, Experiment, Scope};
use anyhow::{Context, Result};
use clients::{Clients, Owed};
use discovery::{Agent, Host};
use endpoint::{Destination, Endpoint, Ills};
use hdrhistogram::Histogram;
use link::Door;
use process::Machine;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Discovery tells that an endpoint is gone so long after it told that it drains.
const GONE_AFTER: Duration = Duration::from_millis(1500);
/// All couriers have to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// How late the lab itself was, in microseconds.
pub struct Late {
    arrivals: Mutex<Histogram<u64>>,
    answers: Mutex<Histogram<u64>>,
}

impl Default for Late {
    fn default() -> Self {
        let histogram = || Mutex::new(Histogram::new(3).expect("three digits"));
        Late { arrivals: histogram(), answers: histogram() }
    }
}

impl Late {
    pub fn arrivals(&self, due: Instant) {
        Self::count(&self.arrivals, due);
    }

    pub fn answers(&self, due: Instant) {
        Self::count(&self.answers, due);
    }

    fn count(of: &Mutex<Histogram<u64>>, due: Instant) {
        // It grows with what it is told.
        let _ = of.lock().expect("lateness").record(due.elapsed().as_micros() as u64);
    }

    /// At the 99th percentile: of arrivals and of answers.
    pub fn p99(&self) -> (u64, u64) {
        let of = |h: &Mutex<Histogram<u64>>| h.lock().expect("lateness").value_at_quantile(0.99);
        (of(&self.arrivals), of(&self.answers))
    }
}

/// All parties of a run.
pub struct Stage {
    experiment: Arc<Experiment>,
    world: World,
    recorder: Recorder,
    pub late: Arc<Late>,
    pub owed: Arc<Owed>,
    endpoints: Vec<Arc<Endpoint>>,
    destinations: Vec<Arc<Destination>>,
    agents: Vec<Arc<Agent>>,
    pub machines: Vec<Arc<Machine>>,
    pub clients: Arc<Clients>,
    changes: AtomicU64,
}

impl Stage {
    /// Puts the world up, and starts the couriers.
    pub fn new(
        experiment: Experiment,
        world: World,
        program: &Path,
        folder: &Path,
        recorder: Recorder,
    ) -> Result<Arc<Self>> {
        let experiment = Arc::new(experiment);
        let (late, owed) = (Arc::new(Late::default()), Arc::new(Owed::default()));
        let there = &experiment.destinations;
        let couriers = experiment.couriers.count;
        let destination =
            |d: &crate::draw::Destination| Arc::new(Destination::new(d.limit, there.refused_count));
        let destinations: Vec<_> = world.destinations.iter().map(destination).collect();
        let keyed = experiment.class.iter().filter(|c| c.effect == EffectName::ByKey);
        let ttl = keyed.clone().map(|c| c.key_ttl).fold(0.0, f64::max);
        let by_zone = keyed.clone().any(|c| c.key_scope == Scope::Zone);
        let calls = Arc::new(AtomicU64::new(0));
        let mut endpoints = Vec::new();
        for (number, p) in world.endpoints.iter().enumerate() {
            let doors = (0..couriers).map(|_| Door::new()).collect::<std::io::Result<Vec<_>>>();
            let endpoint = Endpoint::new(endpoint::Makings {
                number,
                zone: p.zone,
                service: world.destinations[p.destination].service,
                destination: destinations[p.destination].clone(),
                doors: doors.context("no address for an endpoint")?,
                terms: there.clone(),
                keyed: (Duration::from_secs_f64(ttl), by_zone),
                recorder: recorder.clone(),
                late: late.clone(),
                owed: owed.clone(),
                calls: calls.clone(),
            })?;
            endpoint.run();
            endpoints.push(endpoint);
        }
        let host = |courier: usize, n: usize| {
            let p = &world.endpoints[n];
            let rate = world.destinations[p.destination].limit;
            Host {
                host: p.host.clone(),
                dial: endpoints[n].doors[courier].address(),
                zone: experiment.zones[p.zone].clone(),
                destination: p.destination,
                share: rate.unwrap_or(0.0),
            }
        };
        let mut agents = Vec::new();
        for courier in 0..couriers {
            let hosts = (0..endpoints.len()).map(|n| host(courier, n)).collect();
            let overbooked = experiment.discovery.overbooked;
            let agent = Agent::new(courier, hosts, overbooked, world.seed, recorder.clone(), owed.clone())?;
            agents.push(agent);
        }
        let mut machines = Vec::new();
        for (courier, agent) in agents.iter().enumerate() {
            machines.push(Machine::new(process::Makings {
                courier,
                zone: world.zones[courier],
                agent: agent.clone(),
                program: program.to_owned(),
                folder: folder.join(format!("n{courier}")),
                experiment: experiment.clone(),
                seed: world.seed,
                recorder: recorder.clone(),
            })?);
        }
        let sides = machines.iter().map(|m| m.side.clone()).collect();
        let clients = Clients::new(&experiment, &world, sides, recorder.clone(), late.clone(), owed.clone());
        clients.watch();
        for machine in &machines {
            machine.start()?;
            machine.ration();
            tokio::spawn(machine.clone().sample());
        }
        let stage = Stage {
            experiment,
            world,
            recorder,
            late,
            owed,
            endpoints,
            destinations,
            agents,
            machines,
            clients,
            changes: AtomicU64::new(0),
        };
        Ok(Arc::new(stage))
    }

    /// Waits until clients may come.
    pub async fn ready(&self) -> Result<()> {
        let end = Instant::now() + READY_WITHIN;
        for machine in &self.machines {
            while !machine.side.ready.load(SeqCst) {
                anyhow::ensure!(Instant::now() < end, "n{} was not ready within 30 s", machine.courier);
                sleep(Duration::from_millis(5)).await;
            }
        }
        Ok(())
    }

    /// Carries out the timeline, counted from now on. It ends when all that it began has ended.
    pub async fn move_along(self: Arc<Self>) {
        let began = Instant::now();
        let mut under_way = JoinSet::new();
        for step in self.world.moves.clone() {
            sleep_until(began + Duration::from_micros(step.at)).await;
            let picked = |letter: &str, of: &[usize], all: usize| match of.len() == all {
                true => String::new(),
                false => of.iter().map(|n| format!(" {letter}{n}")).collect(),
            };
            let couriers = picked("n", &step.couriers, self.machines.len());
            let endpoints = picked("s", &step.endpoints, self.endpoints.len());
            let text = format!("{:?}{couriers}{endpoints}", step.act);
            tracing::info!("{text}");
            self.recorder.note(What::Step { text });
            let this = self.clone();
            under_way.spawn(async move {
                if let Err(e) = this.carry_out(&step).await {
                    tracing::warn!("{:?}: {e:#}", step.act);
                }
            });
        }
        while under_way.join_next().await.is_some() {}
    }

    async fn carry_out(self: &Arc<Self>, step: &Move) -> Result<()> {
        let lasts = step.lasts.map(Duration::from_micros);
        self.begin(step).await?;
        if let Some(lasts) = lasts.filter(|_| step.act.passes()) {
            sleep(lasts).await;
            self.take_back(step).await?;
        }
        Ok(())
    }

    /// Does a step; one that passes is undone by `take_back`.
    async fn begin(self: &Arc<Self>, step: &Move) -> Result<()> {
        match step.act {
            Act::Kill
            | Act::Restart
            | Act::LoseFolder
            | Act::Truncate
            | Act::Flip
            | Act::Zero
            | Act::Vanish => {
                self.each(step, move |machine, step| async move {
                    let _turn = machine.turn.lock().await;
                    match step.act {
                        Act::Restart => machine.stop().await,
                        _ => machine.kill().await,
                    }
                    match step.act {
                        Act::LoseFolder => machine.lose_folder()?,
                        Act::Truncate => machine.truncate(step.by)?,
                        Act::Flip => machine.flip(step.by)?,
                        Act::Zero => machine.zero(step.by)?,
                        Act::Vanish => machine.vanish()?,
                        _ => {}
                    }
                    machine.start_again(step.lasts.map(Duration::from_micros)).await;
                    Ok(())
                })
                .await?;
            }
            Act::Pause => {
                self.each(step, move |machine, step| async move {
                    machine.pause(Duration::from_micros(step.lasts.unwrap_or(0))).await;
                    Ok(())
                })
                .await?;
            }
            Act::Reload => self.each(step, |machine, _| async move { machine.reload() }).await?,
            Act::Replace => self.each(step, |machine, _| async move { machine.replace().await }).await?,
            Act::FolderFull => self.each(step, |machine, _| async move { machine.fill_folder(true) }).await?,
            Act::OutOfService => self.operate(step, "/control/out-of-service").await?,
            Act::Offline => self.operate_endpoints(step, "offline").await?,
            Act::Silence => self.agents_of(step).for_each(|a| a.silence(true)),
            Act::Overbook => self.agents_of(step).for_each(|a| a.overbook(1.0)),
            Act::Drain => self.drain(step, true),
            Act::Remove => {
                self.drain(step, true);
                sleep(GONE_AFTER).await;
                step.endpoints.iter().for_each(|n| self.change(*n, Health::Gone));
            }
            Act::Limits => self.limits(step, step.by),
            Act::Down => self.endpoints_of(step).for_each(|e| e.fall()),
            Act::Cut => self.links_of(step).for_each(|door| door.link.mute(true, true)),
            Act::LoseThere => self.links_of(step).for_each(|door| door.link.mute(true, false)),
            Act::LoseBack => self.links_of(step).for_each(|door| door.link.mute(false, true)),
            Act::Latency => self.delay(step, crate::draw::micros(step.by)),
            Act::Break => self.links_of(step).for_each(|door| door.link.sever()),
            Act::Hang | Act::Slow | Act::Failing | Act::Resets | Act::Lost | Act::Spoilt => {
                self.ail(step, true)
            }
        }
        Ok(())
    }

    async fn take_back(self: &Arc<Self>, step: &Move) -> Result<()> {
        match step.act {
            Act::FolderFull => {
                self.each(step, |machine, _| async move { machine.fill_folder(false) }).await?
            }
            Act::OutOfService => self.operate(step, "/control/in-service").await?,
            Act::Offline => self.operate_endpoints(step, "online").await?,
            Act::Silence => self.agents_of(step).for_each(|a| a.silence(false)),
            Act::Overbook => {
                self.agents_of(step).for_each(|a| a.overbook(self.experiment.discovery.overbooked));
            }
            Act::Drain => self.drain(step, false),
            Act::Limits => self.limits(step, 1.0),
            Act::Down => self.endpoints_of(step).for_each(|e| e.rise()),
            Act::Cut | Act::LoseThere | Act::LoseBack => {
                self.links_of(step).for_each(|door| door.link.mute(false, false));
            }
            Act::Latency => self.delay(step, 0),
            Act::Hang | Act::Slow | Act::Failing | Act::Resets | Act::Lost | Act::Spoilt => {
                self.ail(step, false)
            }
            _ => {}
        }
        Ok(())
    }

    fn delay(&self, step: &Move, latency: u64) {
        self.links_of(step).for_each(|door| door.link.latency.store(latency, SeqCst));
    }

    /// Does the same to all couriers picked, side by side.
    async fn each<F>(&self, step: &Move, act: impl Fn(Arc<Machine>, Move) -> F) -> Result<()>
    where
        F: Future<Output = Result<()>> + Send + 'static,
    {
        let mut all = JoinSet::new();
        for courier in &step.couriers {
            all.spawn(act(self.machines[*courier].clone(), step.clone()));
        }
        while let Some(done) = all.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn operate(&self, step: &Move, path: &'static str) -> Result<()> {
        self.each(step, move |machine, _| async move {
            machine.operate_until_answered(path).await;
            Ok(())
        })
        .await
    }

    async fn operate_endpoints(&self, step: &Move, word: &str) -> Result<()> {
        for endpoint in &step.endpoints {
            let path = format!("/control/endpoints/{}/{word}", self.world.endpoints[*endpoint].host);
            let mut all = JoinSet::new();
            for machine in &self.machines {
                let (machine, path) = (machine.clone(), path.clone());
                all.spawn(async move { machine.operate_until_answered(&path).await });
            }
            all.join_all().await;
        }
        Ok(())
    }

    fn agents_of(&self, step: &Move) -> impl Iterator<Item = &Arc<Agent>> {
        step.couriers.iter().map(|n| &self.agents[*n])
    }

    fn endpoints_of(&self, step: &Move) -> impl Iterator<Item = &Arc<Endpoint>> {
        step.endpoints.iter().map(|n| &self.endpoints[*n])
    }

    fn links_of(&self, step: &Move) -> impl Iterator<Item = &Arc<Door>> {
        let couriers = step.couriers.clone();
        self.endpoints_of(step).flat_map(move |e| couriers.clone().into_iter().map(|c| &e.doors[c]))
    }

    fn ail(&self, step: &Move, on: bool) {
        let well = Ills::default();
        for endpoint in self.endpoints_of(step) {
            let mut ills = endpoint.ills.lock().expect("ills");
            match step.act {
                Act::Hang => ills.hangs = on,
                Act::Slow => ills.slow = if on { step.by } else { well.slow },
                Act::Failing => ills.failing = if on { step.by } else { 0.0 },
                Act::Resets => ills.resets = if on { step.by } else { 0.0 },
                Act::Lost => ills.lost = if on { step.by } else { 0.0 },
                Act::Spoilt => ills.spoilt = if on { step.by } else { 0.0 },
                _ => {}
            }
        }
    }

    fn limits(&self, step: &Move, factor: f64) {
        let mut of: Vec<_> = step.endpoints.iter().map(|n| self.world.endpoints[*n].destination).collect();
        of.dedup();
        of.into_iter().for_each(|d| self.destinations[d].scale(factor));
    }

    fn drain(&self, step: &Move, on: bool) {
        for endpoint in &step.endpoints {
            self.endpoints[*endpoint].ills.lock().expect("ills").draining = on;
            self.change(*endpoint, if on { Health::Draining } else { Health::Ready });
        }
    }

    /// Discovery has news; each courier's agent hears of them after its own delay.
    fn change(&self, endpoint: usize, health: Health) {
        self.recorder.note(What::Changed { endpoint, health });
        let number = self.changes.fetch_add(1, SeqCst) + 1;
        for (courier, agent) in self.agents.iter().enumerate() {
            let purpose = format!("delay {endpoint} {courier} {health:?}");
            let mut luck = crate::draw::generator(self.world.seed, &purpose);
            let delay = crate::draw::between(&mut luck, self.experiment.discovery.delay);
            let agent = agent.clone();
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(delay)).await;
                agent.learn(number, endpoint, health);
            });
        }
    }

    /// Ends all couriers as planned.
    pub async fn stop(&self) {
        let mut all = JoinSet::new();
        for machine in &self.machines {
            let machine = machine.clone();
            all.spawn(async move { machine.stop().await });
        }
        all.join_all().await;
    }
}
