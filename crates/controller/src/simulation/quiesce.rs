//! The end of a scenario: all faults end, and the system must recover within its time bounds.

use super::change::{Form, SERVICES};
use super::history::{ChangeStatus, ReadStatus};
use super::host::Host;
use super::step::Step;
use super::violation::Violation;
use super::world::World;
use std::time::Duration;

/// Time for everything to recover once it is repaired (`RecoverS`).
const QUIESCE_TIME: Duration = Duration::from_secs(12);
/// A change is acknowledged within this time (`AckMs`).
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(4);
/// Number of seeds in settings files.
const SEEDS: usize = 3;
/// A read is answered within this time.
const READ_TIME: Duration = Duration::from_secs(1);
/// Interval at which a pending acknowledgement is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Routers have an acknowledged change within this time (`ConfigApplyMs`).
const APPLY_TIME: Duration = Duration::from_secs(2);

impl World {
    /// Repairs and starts everything; then changes are committed, reads are served, routers have the newest
    /// configuration, groups are complete and every service has a controller that acts for it.
    pub(super) fn quiesce(&mut self) -> Result<(), Violation> {
        self.repair_all();
        self.run(QUIESCE_TIME)?;
        let number = self.history.changes.len() + 1;
        let via = self.first_remaining();
        self.operate(&Step::Put { form: Form::Put, via, only: false });
        let status = self.wait_for_change(number)?;
        if status == Some(ChangeStatus::Refused) {
            // The operators' base was outdated. The refusal told them the newest version, so a second change must succeed.
            return self.quiesce_change(number + 1, via);
        }
        self.check_quiesced(number)
    }

    fn quiesce_change(&mut self, number: usize, via: usize) -> Result<(), Violation> {
        self.operate(&Step::Put { form: Form::Put, via, only: false });
        self.wait_for_change(number)?;
        self.check_quiesced(number)
    }

    /// Waits until the outcome of a change is known, but at most for [`ACKNOWLEDGE_TIME`].
    fn wait_for_change(&mut self, number: usize) -> Result<Option<ChangeStatus>, Violation> {
        let until = self.now() + ACKNOWLEDGE_TIME;
        let mut status = self.history.change(number).map(|sent| sent.status);
        while status == Some(ChangeStatus::Open) && self.now() < until {
            self.run(POLL_INTERVAL)?;
            status = self.history.change(number).map(|sent| sent.status);
        }
        Ok(status)
    }

    fn repair_all(&mut self) {
        let lagged = self.network.end_lags();
        self.network.repair();
        let left = (0..self.controllers.len()).filter(|index| !self.controllers[*index].retired);
        let seeds: Vec<usize> = left.take(SEEDS).collect();
        self.change_all_seeds(&seeds);
        for index in 0..self.controllers.len() {
            self.repair_disk(index);
            self.thaw(Host::Controller(index));
            if self.controllers[index].is_shutting_down() {
                self.kill_controller(index);
            }
            self.start(Host::Controller(index));
        }
        for index in 0..self.routers.len() {
            self.thaw(Host::Router(index));
            self.start(Host::Router(index));
        }
        self.paths_changed();
        self.empty_queues(&lagged);
        self.release_delayed_calls();
        let now = self.now();
        self.fault_history.record_core_fault(now);
        self.detect_losses();
    }

    fn first_remaining(&self) -> usize {
        self.controllers.iter().find(|machine| !machine.retired).map_or(0, |machine| machine.index)
    }

    fn check_quiesced(&mut self, number: usize) -> Result<(), Violation> {
        let sent = self.history.change(number);
        if sent.map(|sent| sent.status) != Some(ChangeStatus::Taken) {
            let status = sent.map(|sent| sent.status);
            return Err(Violation::NotRecovered(format!("change {number} is {status:?}")));
        }
        let version = self.history.newest_acknowledged;
        self.run(APPLY_TIME)?;
        self.check_routers(version)?;
        self.check_reads()?;
        self.check_groups()?;
        self.check_holders()
    }

    fn check_routers(&self, version: u64) -> Result<(), Violation> {
        for machine in &self.routers {
            let configuration = machine.known.configuration.as_ref();
            let found = configuration.map_or(0, |configuration| configuration.version);
            if found != version {
                let router = machine.host();
                return Err(Violation::NotRecovered(format!("{router} has version {found}, not {version}")));
            }
        }
        Ok(())
    }

    /// Checks that every controller serves the newest configuration.
    fn check_reads(&mut self) -> Result<(), Violation> {
        let left: Vec<usize> =
            self.controllers.iter().filter(|machine| !machine.retired).map(|machine| machine.index).collect();
        let first = self.history.reads.len();
        for via in &left {
            self.operate(&Step::Read { via: *via, only: true });
        }
        self.run(READ_TIME)?;
        for (read, via) in self.history.reads[first..].iter().zip(left) {
            if read.status != ReadStatus::Served {
                let (host, status) = (Host::Controller(via), read.status);
                return Err(Violation::NotRecovered(format!("a read at {host} is {status:?}")));
            }
        }
        Ok(())
    }

    fn check_groups(&self) -> Result<(), Violation> {
        let size = 2 * self.tolerance as usize + 1;
        let left = self.controllers.iter().filter(|machine| !machine.retired).count();
        for (shard, group) in self.newest_groups().iter().enumerate() {
            let ended =
                |host: &Host| matches!(host, Host::Controller(index) if self.controllers[*index].retired);
            if left >= size && (group.len() < size || group.iter().any(ended)) {
                return Err(Violation::NotRecovered(format!("shard {shard} has group {group:?}")));
            }
        }
        Ok(())
    }

    /// Checks that the shard of every service has a controller that acts for it.
    fn check_holders(&self) -> Result<(), Violation> {
        let holders = self.holders();
        if holders.len() == SERVICES.len() {
            return Ok(());
        }
        Err(Violation::NotRecovered(format!("holders are {holders:?}")))
    }
}
