//! Calls of the bench, several at once.

use super::report::Report;
use crate::error::Error;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;

/// How the bench is called.
#[derive(Debug, Clone)]
pub struct Bench {
    /// The program.
    pub program: PathBuf,
    /// Deployment that is played.
    pub site: PathBuf,
    /// Where its reports and what it prints go.
    pub folder: PathBuf,
    /// Reason that stands in its journal.
    pub why: String,
    /// Machines whose logs it prints, as it takes them.
    pub logged: Option<String>,
}

/// A day that was played, or could not be.
#[derive(Debug)]
pub struct Played {
    /// Name of the day's file, without its ending.
    pub name: String,
    /// The bench's report, or why there is none.
    pub outcome: Result<Report, Error>,
}

impl Bench {
    /// Plays one day.
    pub fn play(&self, day: &Path) -> Played {
        let name = day.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let outcome = self.run(day, &name);
        Played { name, outcome }
    }

    fn run(&self, day: &Path, name: &str) -> Result<Report, Error> {
        let report = self.folder.join(format!("{name}.json"));
        let printed = self.folder.join(format!("{name}.txt"));
        remove_earlier(&report)?;
        let output = File::create(&printed).map_err(|cause| Error::Write { path: printed.clone(), cause })?;
        let errors = output.try_clone().map_err(|cause| Error::Write { path: printed, cause })?;
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.site).arg(day);
        command.args(["--why", &self.why]).arg("--report").arg(&report);
        command.args(self.logged.iter().flat_map(|machines| ["--log", machines]));
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let status =
            command.status().map_err(|cause| Error::Start { program: self.program.clone(), cause })?;
        if !report.exists() {
            return Err(Error::NoReport { day: day.to_path_buf(), status });
        }
        Report::read(&report)
    }
}

/// A report of an earlier play must not stand for this one.
fn remove_earlier(report: &Path) -> Result<(), Error> {
    match std::fs::remove_file(report) {
        Err(cause) if cause.kind() != std::io::ErrorKind::NotFound => {
            Err(Error::Write { path: report.to_path_buf(), cause })
        }
        _ => Ok(()),
    }
}

/// Plays all days, `at_once` of them at the same time, and hands each over as it ends.
pub fn play_all(bench: &Bench, days: &[PathBuf], at_once: usize, mut hand_over: impl FnMut(Played)) {
    let next = AtomicUsize::new(0);
    let (ended, played) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            let (next, ended) = (&next, ended.clone());
            scope.spawn(move || {
                while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if ended.send(bench.play(day)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(ended);
        played.iter().for_each(&mut hand_over);
    });
}
