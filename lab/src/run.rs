//! One run from its seed to its verdict.

use crate::audit::{self, Verdict};
use crate::draw::World;
use crate::event::{self, Recorder, SCHEMA, What};
use crate::experiment::Experiment;
use crate::summary::Summary;
use crate::world::Stage;
use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Later than this at the 99th percentile, the lab's own lateness would excuse the courier. Microseconds.
pub const LATE_MOST: u64 = 10_000;
/// Nothing may be owed for so long before the end, so that what should not come has time to come.
const QUIET: Duration = Duration::from_millis(500);

/// What a run is made of beside its experiment.
pub struct Options {
    pub seed: u64,
    /// Where the record, the logs and the summary go; made if it is not there.
    pub out: PathBuf,
    pub courier: PathBuf,
}

/// How a run ended; the order is that of the exit codes.
/// The worse the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Holds,
    Fails,
    /// The lab itself was late: it says nothing of the courier.
    Invalid,
}

pub struct Finished {
    pub outcome: Outcome,
    pub verdict: Verdict,
    pub summary: Summary,
}

pub const RECORD: &str = "events.jsonl";
pub const SUMMARY: &str = "summary.json";

/// Plays an experiment and judges it.
pub fn run(experiment: &Experiment, options: &Options) -> Result<Finished> {
    let out = &options.out;
    fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let courier = options.courier.canonicalize().with_context(|| options.courier.display().to_string())?;
    let world = World::draw(experiment, options.seed)?;
    crate::world::process::come_first();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(play(experiment.clone(), world, &courier, out))?;
    // All tasks end here, and with them what they hold open.
    runtime.shutdown_timeout(Duration::from_secs(5));
    judge(experiment, out)
}

/// Judges a record that stands in a folder.
pub fn judge(experiment: &Experiment, out: &Path) -> Result<Finished> {
    let events = event::read(&out.join(RECORD))?;
    let record = audit::Record::new(&events)?;
    let verdict = audit::judge(&record);
    let summary = Summary::new(&record, &verdict, experiment);
    fs::write(out.join(SUMMARY), serde_json::to_string_pretty(&summary)? + "\n")?;
    let outcome = if summary.lab_late_us.iter().any(|late| *late > LATE_MOST) {
        Outcome::Invalid
    } else if summary.failed.is_empty() {
        Outcome::Holds
    } else {
        Outcome::Fails
    };
    Ok(Finished { outcome, verdict, summary })
}

/// A bar on a terminal; elsewhere nothing.
fn progress(experiment: &Experiment) -> ProgressBar {
    let bar = ProgressBar::new(experiment.seconds as u64);
    let style = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} s  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()).progress_chars("=> "));
    bar.set_prefix(experiment.name.clone());
    bar
}

async fn play(experiment: Experiment, world: World, courier: &Path, out: &Path) -> Result<()> {
    let (recorder, writer) = Recorder::create(&out.join(RECORD))?;
    recorder.note(What::Begin {
        schema: SCHEMA,
        experiment: experiment.name.clone(),
        seed: world.seed,
        digest: world.digest(),
        terms: world.terms(&experiment),
    });
    let bar = progress(&experiment);
    // A folder of the run's own, so that runs side by side do not meet.
    let machines = out.join("couriers");
    if machines.exists() {
        fs::remove_dir_all(&machines)?;
    }
    let stage = Stage::new(experiment.clone(), world, courier, &machines, recorder.clone())?;
    stage.ready().await?;
    recorder.note(What::Loaded);
    let moves = tokio::spawn(stage.clone().move_along());
    let load = async {
        let ticking = bar.clone();
        let tick = tokio::spawn(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                ticking.inc(1);
            }
        });
        stage.clients.play().await;
        tick.abort();
    };
    load.await;
    let end = Instant::now() + Duration::from_secs_f64(experiment.settle);
    let mut quiet = Instant::now();
    while Instant::now() < end && quiet.elapsed() < QUIET {
        bar.set_message(format!("{} owed", stage.owed.count()));
        if stage.owed.count() > 0 || !stage.clients.done() || !moves.is_finished() {
            quiet = Instant::now();
        }
        sleep(Duration::from_millis(20)).await;
    }
    recorder.note(What::Unloaded);
    stage.stop().await;
    bar.finish_and_clear();
    let (arrivals_late, answers_late) = stage.late.p99();
    recorder.note(What::Ended { arrivals_late, answers_late });
    let written = tokio::task::spawn_blocking(move || writer.join()).await?;
    Ok(written.map_err(|_| anyhow::anyhow!("the record's writer panicked"))??)
}
