//! Faults of the simulated service: crashes, restarts, draining, partitions, takeovers.

use super::super::fleet::Partition;
use super::network::Message;
use super::{BACKEND, HEARTBEAT_TIMEOUT_MS, LATE_ARRIVAL_PROBABILITY, Simulation, settings};
use lanegate_placement::{Placer, StartMode};

impl Simulation {
    pub(crate) fn crash(&mut self, name: &str) {
        self.checks.last_fault_ms = self.now_ms;
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) else { return };
        endpoint.up = false;
        endpoint.work = None;
        let id = endpoint.id();
        self.send(HEARTBEAT_TIMEOUT_MS, Message::Removed(id));
    }

    pub(crate) fn restart(&mut self, name: &str) {
        self.checks.last_fault_ms = self.now_ms;
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) else { return };
        endpoint.up = true;
        endpoint.ready = true;
        endpoint.remaining_ms = None;
        endpoint.incarnation += 1;
        endpoint.models.clear();
        endpoint.revision = 0;
        endpoint.heartbeats = 0;
        endpoint.next_heartbeat_ms = self.now_ms;
        endpoint.work = None;
    }

    pub(crate) fn drain_endpoint(&mut self, name: &str, remaining_ms: Option<f64>) {
        self.checks.last_fault_ms = self.now_ms;
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) else { return };
        endpoint.ready = false;
        endpoint.remaining_ms = remaining_ms;
        endpoint.next_heartbeat_ms = self.now_ms;
    }

    /// Partitions an endpoint from the controllers for a while; it continues to execute its order.
    pub(crate) fn partition(&mut self, name: &str, partition: Partition, duration_ms: u64) {
        let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) else { return };
        endpoint.partition = Some(partition);
        endpoint.partition_ends_ms = self.now_ms + duration_ms;
    }

    /// Ends every partition.
    pub(crate) fn end_all_partitions(&mut self) {
        let now_ms = self.now_ms;
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.partition_ends_ms = endpoint.partition_ends_ms.min(now_ms));
        self.end_partitions();
    }

    /// Ends partitions that are over; a delayed heartbeat may arrive then.
    pub(super) fn end_partitions(&mut self) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            if endpoint.partition.is_none() || self.now_ms < endpoint.partition_ends_ms {
                continue;
            }
            endpoint.partition = None;
            let delayed_heartbeat = endpoint.delayed_heartbeat.take();
            let arrives = self.random.unit() < LATE_ARRIVAL_PROBABILITY;
            if let Some(instance) = delayed_heartbeat.filter(|_| arrives) {
                let delay = self.delay();
                self.send(delay, Message::DelayedInstance(Box::new(instance)));
            }
        }
    }

    /// A new lease holder starts with the newest registrations only.
    pub(crate) fn take_over(&mut self) {
        self.checks.last_fault_ms = self.now_ms;
        self.generation += 1;
        self.checks.open.clear();
        let now = self.now();
        let seed = self.random.next();
        self.placer = Placer::new(now, BACKEND, seed, &settings(StartMode::Takeover, self.switched_off));
        self.placer.configure(now, &self.runtime);
        for registration in self.registry.values() {
            self.placer.register(now, &registration.instance);
        }
    }
}
