//! What became of the messages that restarts found untried, counted from couriers' logs. A line begins with its time
//! in seconds; the lives of one courier follow each other in one file.

use anyhow::{Context, Result, ensure};
use std::collections::HashMap;
use std::fmt;
use std::fs;
use std::path::Path;

/// Messages by what came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub found: usize,
    pub tried: usize,
    /// Given up with no call.
    pub given: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub restarts: usize,
    /// With half of their time left, and with less.
    pub ample: Counts,
    pub late: Counts,
}

impl Found {
    /// Over half of those with half of their time left were given up with no call.
    pub fn fails(&self) -> bool {
        self.ample.given * 2 > self.ample.found
    }

    fn add(&mut self, other: Found) {
        self.restarts += other.restarts;
        for (to, from) in [(&mut self.ample, other.ample), (&mut self.late, other.late)] {
            to.found += from.found;
            to.tried += from.tried;
            to.given += from.given;
        }
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} restarts", self.restarts)?;
        for (name, c) in [("half of their time left", self.ample), ("less", self.late)] {
            write!(f, "; with {name}: {} found, {} tried, {} given up", c.found, c.tried, c.given)?;
        }
        Ok(())
    }
}

/// A message of one log.
#[derive(Default)]
struct Taken {
    /// When its time is up, and how much it had, s.
    until: f64,
    time: f64,
    /// It has been tried, or has ended.
    settled: bool,
    /// A restart has found it: with half of its time left?
    found: Option<bool>,
}

/// Counts over all logs of a folder.
pub fn count(folder: &Path) -> Result<Found> {
    let mut found = Found::default();
    let mut logs = 0;
    for entry in fs::read_dir(folder).with_context(|| folder.display().to_string())? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let text = fs::read(&path).with_context(|| path.display().to_string())?;
            found.add(read(&String::from_utf8_lossy(&text)));
            logs += 1;
        }
    }
    ensure!(logs > 0, "{}: no *.log in it", folder.display());
    Ok(found)
}

fn read(log: &str) -> Found {
    let (mut found, mut lives) = (Found::default(), 0);
    let mut messages: HashMap<&str, Taken> = HashMap::new();
    for line in log.lines() {
        let Some((at, rest)) = line.split_once(' ') else { continue };
        let (Ok(at), Some((id, what))) = (at.parse::<f64>(), rest.split_once(' ')) else { continue };
        if what.starts_with("serves ") {
            lives += 1;
            if lives > 1 {
                found.restarts += 1;
                for m in messages.values_mut().filter(|m| !m.settled && m.found.is_none()) {
                    let ample = m.until - at >= m.time / 2.0;
                    m.found = Some(ample);
                    if ample { &mut found.ample } else { &mut found.late }.found += 1;
                }
            }
        } else if let Some(taken) = what.strip_prefix("taken on: ") {
            let left =
                taken.rsplit(", ").next().and_then(|l| l.strip_suffix(" ms left")?.parse::<f64>().ok());
            let time = left.unwrap_or_default() / 1000.0;
            messages.insert(id, Taken { until: at + time, time, ..Taken::default() });
        } else if let Some(m) = messages.get_mut(id).filter(|m| !m.settled) {
            let tried = what.starts_with("attempt ") && what.contains(": to ");
            let given = what.starts_with("given up");
            m.settled = tried || given || what.starts_with("withdrawn");
            if let Some(ample) = m.found.filter(|_| m.settled) {
                let counts = if ample { &mut found.ample } else { &mut found.late };
                counts.tried += usize::from(tried);
                counts.given += usize::from(given);
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_was_untried_at_a_restart_counts_and_once() {
        let log = "0.1 n0 serves 127.0.0.1:1; 0 messages resumed\n\
                   1.0 a taken on: notice for 7 of acme, 9000 ms left\n\
                   1.0 b taken on: notice for 7 of , 4000 ms left\n\
                   1.1 c taken on: notice for 7 of acme, 9000 ms left\n\
                   1.1 d taken on: notice for 7 of acme, 9000 ms left\n\
                   1.2 c attempt 0: to s-1 for 1000 ms\n\
                   1.3 e taken on: notice for 7 of acme, 9000 ms left\n\
                   1.4 e given up: Dead\n\
                   4.0 n0 serves 127.0.0.1:1; 4 messages resumed\n\
                   4.1 a attempt 0: to s-1 for 1000 ms\n\
                   4.2 a attempt 0: Delivered after 100 ms\n\
                   4.3 b given up: Bounced { wait: None }\n\
                   4.4 c given up: Dead\n\
                   4.5 d given up: Dead\n\
                   not a line of ours\n\
                   5.0 n0 serves 127.0.0.1:1; 0 messages resumed\n";
        let ample = Counts { found: 2, tried: 1, given: 1 };
        let late = Counts { found: 1, tried: 0, given: 1 };
        let found = read(log);
        assert_eq!(found, Found { restarts: 2, ample, late });
        assert!(!found.fails() && Found { ample: Counts { given: 2, ..ample }, ..found }.fails());
    }
}
