//! The troubles of a run and their times: drawn from a seed, or read from a text file.

mod draw;
mod text;

pub use draw::{Draw, Flavour};
pub use text::ScheduleError;

use crate::names::Place;
use std::time::Duration;

/// Something that is done to a part of the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// SIGKILL; started again after `down`.
    Kill { place: Place, down: Duration },
    /// SIGTERM, then SIGKILL after `GraceS`; started again after `down` from its end.
    Terminate { place: Place, down: Duration },
    /// SIGKILL of a controller, and its disk is lost; started again after `down`.
    Wipe { controller: u8, down: Duration },
    /// SIGKILL of all controllers at once; started again after `down`.
    Blackout { down: Duration },
    /// SIGHUP.
    Hangup { place: Place },
    /// SIGSTOP, and SIGCONT after `lasts`.
    Freeze { place: Place, lasts: Duration },
    /// Nothing passes on the links between a process and a controller.
    Cut { from: Place, controller: u8, lasts: Duration },
    /// Nothing passes between a controller and any other process; endpoints and operators still reach it.
    Isolate { controller: u8, lasts: Duration },
    /// All connections of these links are reset.
    Reset { from: Place, controller: u8 },
    /// An endpoint is gone without a word; a new incarnation comes after `down`.
    EndpointCrash { endpoint: u8, down: Duration },
    /// An endpoint says that it drains, or that it ends, finishes and ends; a new incarnation comes after `down`.
    EndpointLeave { endpoint: u8, announced: bool, down: Duration },
    /// An endpoint takes several times as long for everything.
    EndpointSlow { endpoint: u8, lasts: Duration },
    /// Orders are carried out and their answers are lost.
    OrderAnswersLost { endpoint: u8, lasts: Duration },
    /// Orders wait for a part of a second before they are taken.
    OrdersDelayed { endpoint: u8, lasts: Duration },
    /// Heartbeats are taken and their answers are lost.
    HeartbeatAnswersLost { endpoint: u8, lasts: Duration },
    /// Heartbeats reach their controller up to seconds after they were written.
    HeartbeatsLate { endpoint: u8, lasts: Duration },
    /// Heartbeats are held up on their way and come when this is over.
    HeartbeatsHeld { endpoint: u8, lasts: Duration },
    /// Answers to the operators are lost.
    AcknowledgementsLost { lasts: Duration },
    /// Changes of the configuration in quick succession by both operators; `relevant` ones move a route.
    Changes { count: u32, relevant: bool },
    /// Most requests ask for other models from now on.
    DemandMoves { first: usize },
}

impl Trouble {
    /// Whether an operator or an endpoint had announced it.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Trouble::Terminate { .. }
                | Trouble::Hangup { .. }
                | Trouble::EndpointLeave { .. }
                | Trouble::Changes { .. }
                | Trouble::DemandMoves { .. }
                | Trouble::AcknowledgementsLost { .. }
        )
    }
}

/// A trouble and when it begins.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// From the beginning of traffic.
    pub at: Duration,
    pub trouble: Trouble,
}

/// All troubles of a run, in order of their times.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Schedule {
    pub steps: Vec<Step>,
}
