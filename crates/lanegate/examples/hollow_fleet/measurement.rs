//! Starts the fleet, measures it, and prints the figures.

use crate::Outcome;
use crate::children::{Part, Process};
use crate::configuration;
use crate::layout::Layout;
use crate::observer::{Counts, observe};
use crate::usage::Usage;
use lanegate_control_http::{ClientRequest, ControlMethod, call};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Longest wait for an answer to the operator.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest wait for all routers to know something.
const SPREAD_TIME: Duration = Duration::from_secs(60);
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(100);
/// Time in which placement and links settle before the steady stretch.
const SETTLING: Duration = Duration::from_secs(5);

struct Fleet {
    layout: Layout,
    controllers: Vec<Process>,
    agents: Vec<Process>,
    routers: Vec<Process>,
    endpoints: Process,
    version: u64,
}

/// Runs the whole measurement.
pub async fn run(mut layout: Layout) -> Outcome<()> {
    layout.place()?;
    let data = layout.data.clone();
    let outcome = Fleet::start(layout)?.measure().await;
    std::fs::remove_dir_all(data)?;
    outcome
}

impl Fleet {
    fn start(layout: Layout) -> Outcome<Self> {
        let controllers =
            (0..layout.controllers).map(|index| Process::start(&layout, &Part::Controller { index }));
        let controllers = controllers.collect::<Outcome<_>>()?;
        let endpoints = Process::start(&layout, &Part::Endpoints)?;
        let mut fleet =
            Fleet { layout, controllers, agents: Vec::new(), routers: Vec::new(), endpoints, version: 1 };
        fleet.start_routers(fleet.layout.routers)?;
        Ok(fleet)
    }

    /// Starts the first `count` routers with their agents.
    fn start_routers(&mut self, count: usize) -> Outcome<()> {
        let each = count.div_ceil(self.layout.processes);
        for first in (0..count).step_by(each) {
            let end = (first + each).min(count);
            self.agents.push(Process::start(&self.layout, &Part::Agents { first, end })?);
            self.routers.push(Process::start(&self.layout, &Part::Routers { first, end })?);
        }
        Ok(())
    }

    async fn measure(&mut self) -> Outcome<()> {
        println!(
            "layout: {}",
            serde_json::to_string(&Layout { agent_ports: Vec::new(), ..self.layout.clone() })?
        );
        let started = Instant::now();
        self.operator(ControlMethod::Put, 0, configuration::first(&self.layout)).await?;
        println!("configuration taken after {:.2} s", started.elapsed().as_secs_f64());
        self.spread().await?;
        println!("all routers follow after {:.2} s", started.elapsed().as_secs_f64());
        sleep(SETTLING).await;
        let links = (self.layout.control(0).ip(), self.layout.link_port);
        let counts = observe(links.into());
        sleep(PAUSE * 5).await;
        print_counts("snapshot", &counts, 1.0);
        self.steady(&counts).await?;
        for _ in 0..self.layout.changes {
            self.change().await?;
        }
        self.herd().await
    }

    async fn steady(&self, counts: &Counts) -> Outcome<()> {
        counts.borrow_mut().clear();
        let before = self.usages()?;
        let began = Instant::now();
        sleep(Duration::from_secs(self.layout.seconds)).await;
        let seconds = began.elapsed().as_secs_f64();
        println!("steady for {seconds:.1} s");
        self.print_usages(&before, seconds)?;
        print_counts("feed", counts, seconds);
        Ok(())
    }

    async fn change(&mut self) -> Outcome<()> {
        let before = self.usages()?;
        self.version += 1;
        let sent = Instant::now();
        self.operator(ControlMethod::Patch, self.version - 1, configuration::change(self.version)).await?;
        let taken = Instant::now();
        self.spread().await?;
        let (taken, spread) = (taken - sent, taken.elapsed());
        println!(
            "change: acknowledged in {:.3} s, everywhere {:.3} s later",
            taken.as_secs_f64(),
            spread.as_secs_f64()
        );
        sleep(PAUSE * 5).await;
        self.print_usages(&before, 1.0)
    }

    /// Kills all agents and routers at once and starts some of them again.
    async fn herd(&mut self) -> Outcome<()> {
        for process in self.agents.iter_mut().chain(&mut self.routers) {
            process.kill().await?;
        }
        self.agents.clear();
        self.routers.clear();
        let before = self.usages()?;
        let began = Instant::now();
        self.start_routers(self.layout.herd)?;
        self.spread().await?;
        println!("herd of {}: all follow after {:.2} s", self.layout.herd, began.elapsed().as_secs_f64());
        self.print_usages(&before, 1.0)
    }

    /// Waits until all routers have the newest configuration.
    async fn spread(&mut self) -> Outcome<()> {
        let version = self.version.to_string();
        for process in &mut self.routers {
            timeout(SPREAD_TIME, process.printed(&version)).await??;
        }
        Ok(())
    }

    async fn operator(&self, method: ControlMethod, if_match: u64, body: String) -> Outcome<()> {
        println!("operator: {} bytes", body.len());
        let request = ClientRequest {
            method,
            if_match: Some(if_match),
            body: body.into(),
            ..ClientRequest::get("/config")
        };
        for _ in 0..100 {
            match call(self.layout.control(0), &request, PATIENCE).await {
                Ok(answer) if answer.status == 200 => return Ok(()),
                Ok(answer) if answer.status < 500 => {
                    return Err(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)).into());
                }
                _ => sleep(PAUSE).await,
            }
        }
        Err("the configuration was not taken".into())
    }

    fn usages(&self) -> Outcome<Vec<(&'static str, Usage)>> {
        let mut usages = Vec::new();
        for (name, process) in self.processes() {
            usages.push((name, process.usage()?));
        }
        Ok(usages)
    }

    fn processes(&self) -> impl Iterator<Item = (&'static str, &Process)> {
        let named = |name: &'static str| move |process| (name, process);
        let all = self.controllers.iter().map(named("controller")).chain([("endpoints", &self.endpoints)]);
        all.chain(self.agents.iter().map(named("agents"))).chain(self.routers.iter().map(named("routers")))
    }

    /// Prints processor time since `before` over `seconds`, and memory.
    fn print_usages(&self, before: &[(&'static str, Usage)], seconds: f64) -> Outcome<()> {
        let now = self.usages()?;
        let before = before.iter().map(|(_, usage)| usage.cpu_s).chain(std::iter::repeat(0.0));
        for ((name, usage), before) in now.iter().zip(before) {
            println!(
                "  {name}: {:.4} s of processor time a second, {:.1} MB resident, {:.1} MB at its peak",
                (usage.cpu_s - before) / seconds,
                usage.resident_mb,
                usage.peak_mb
            );
        }
        Ok(())
    }
}

fn print_counts(what: &str, counts: &Counts, seconds: f64) {
    for (kind, counted) in counts.borrow().iter() {
        let (messages, bytes) = (counted.messages as f64 / seconds, counted.bytes as f64 / seconds);
        println!("  {what}: {messages:.1} {kind}, {bytes:.0} bytes");
    }
}
