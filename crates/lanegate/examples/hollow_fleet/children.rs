//! The processes of the fleet.

use crate::Outcome;
use crate::layout::Layout;
use crate::usage::Usage;
use serde::{Deserialize, Serialize};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// What one process is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Part {
    Controller { index: u8 },
    Agents { first: usize, end: usize },
    Routers { first: usize, end: usize },
    Endpoints,
}

/// A process; it ends with this value.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a part of the fleet from this very program.
    pub fn start(layout: &Layout, part: &Part) -> Outcome<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(serde_json::to_string(layout)?).arg(serde_json::to_string(part)?);
        let mut child = command.stdout(Stdio::piped()).kill_on_drop(true).spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        Ok(Process { child, lines: BufReader::new(output).lines() })
    }

    /// What it has used.
    pub fn usage(&self) -> Outcome<Usage> {
        Usage::of(self.child.id().ok_or("ended")?)
    }

    /// Waits until it prints this line.
    pub async fn printed(&mut self, wanted: &str) -> Outcome<()> {
        while let Some(line) = self.lines.next_line().await? {
            if line == wanted {
                return Ok(());
            }
        }
        Err("a process ended".into())
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) -> Outcome<()> {
        Ok(self.child.kill().await?)
    }
}
