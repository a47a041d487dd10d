//! Drives the replicas: passes inputs to them and carries out their outputs.

use rand::Rng;

use super::{Observation, World};
use crate::register::{Input, Output, Record, Replica};
use crate::simulation::disk::Write;
use crate::simulation::machine::{Event, index_of};
use crate::simulation::step::MachineIndex;
use crate::simulation::violation::Violation;

impl World {
    /// Passes an input to the replica on a machine, if its process runs.
    pub(super) fn input(&mut self, at: MachineIndex, input: Input) -> Result<(), Violation> {
        let now = self.now;
        if let Some(replica) = &mut self.machines[at].replica {
            replica.handle(now, input);
        }
        self.flush(at)
    }

    /// Delivers an event to a machine.
    pub(super) fn deliver(&mut self, at: MachineIndex, event: Event) -> Result<(), Violation> {
        self.machines[at].receive(self.now, event)?;
        self.flush(at)
    }

    /// Carries out the outputs of a replica.
    pub(super) fn flush(&mut self, at: MachineIndex) -> Result<(), Violation> {
        while let Some(output) = self.machines[at].poll_output() {
            if let Some(observations) = &mut self.observations {
                observations.push(Observation { at: self.now, machine: at, output: output.clone() });
            }
            match output {
                Output::Send { to, message } => {
                    let bytes = message.encode().map_err(|_| Violation::UnreadableMessage(at))?;
                    self.send(at, index_of(to), &bytes);
                }
                Output::Persist { token, record } => self.write(at, token, &record)?,
                Output::Done { request, outcome } => self.history.record_answer(request, outcome)?,
                Output::Committed { value } => {
                    self.machines[at].record_committed(value.revision)?;
                    self.history.record_committed(&value)?;
                }
            }
        }
        self.set_timer(at);
        Ok(())
    }

    fn send(&mut self, from: MachineIndex, to: MachineIndex, bytes: &[u8]) {
        for delay in self.network.delivery_delays(from, to, &mut self.random) {
            let event = Event::Message { from, bytes: bytes.to_vec() };
            self.events.schedule(self.now + delay, to, event);
        }
    }

    fn write(&mut self, at: MachineIndex, token: u64, record: &Record) -> Result<(), Violation> {
        let bytes = record.encode().map_err(|_| Violation::UnreadableRecord(at))?;
        let machine = &mut self.machines[at];
        machine.disk.write = Some(Write { token, bytes });
        let time = machine.disk.max_write_time.mul_f64(self.random.random::<f64>());
        let incarnation = machine.incarnation;
        self.events.schedule(self.now + time, at, Event::Written { incarnation, token });
        Ok(())
    }

    fn set_timer(&mut self, at: MachineIndex) {
        let machine = &mut self.machines[at];
        let wake = machine.replica.as_ref().and_then(Replica::next_wake);
        let Some(wake) = wake.filter(|wake| machine.wake_at != Some(*wake)) else {
            return;
        };
        machine.wake_at = Some(wake);
        let event = Event::Wake { incarnation: machine.incarnation, at: wake };
        self.events.schedule(wake.max(self.now), at, event);
    }
}
