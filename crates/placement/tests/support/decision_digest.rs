//! Digest of a placer's actions and of its public state, from bytes that do not depend on names.

use lanegate_golden::Digest;
use lanegate_placement::{Action, Operation, Placer};

/// Kinds of entries.
const ORDER: u8 = 1;
const REPORT_REQUEST: u8 = 2;
const STATE: u8 = 3;
const PENDING_LOAD: u8 = 4;
const EVICTION: u8 = 5;

#[derive(Default)]
pub(crate) struct DecisionDigest(Digest);

impl DecisionDigest {
    pub(crate) fn record_action(&mut self, now_ms: u64, action: &Action) {
        let digest = &mut self.0;
        digest.number(now_ms);
        match action {
            Action::Order(order) => {
                digest.byte(ORDER);
                digest.number(order.id.0);
                digest.bytes(order.instance.as_bytes());
                digest.bytes(order.address.to_string().as_bytes());
                digest.byte(if order.operation == Operation::Load { 1 } else { 2 });
                record_item(digest, &order.model, order.adapter.as_deref());
                digest.number(order.if_revision);
            }
            Action::RequestReport { instance, address } => {
                digest.byte(REPORT_REQUEST);
                digest.bytes(instance.as_bytes());
                digest.bytes(address.to_string().as_bytes());
            }
        }
    }

    /// Records the placer's public state and its next wake-up time. `endpoints` are names and ids of the incarnations.
    pub(crate) fn record_placer<'a>(
        &mut self,
        placer: &Placer,
        endpoints: impl Iterator<Item = (&'a str, String)>,
    ) {
        let digest = &mut self.0;
        digest.byte(STATE);
        digest.number(placer.next_wake().map_or(u64::MAX, |at| at.as_nanos() as u64));
        digest.byte(placer.fenced().into());
        digest.number(placer.violations().total());
        for load in placer.pending_loads() {
            digest.byte(PENDING_LOAD);
            digest.bytes(load.instance.as_bytes());
            record_item(digest, &load.item.model, load.item.adapter.as_deref());
            digest.number(load.expected.as_nanos() as u64);
        }
        for (name, id) in endpoints {
            if let Some(item) = placer.evicting(&id) {
                digest.byte(EVICTION);
                digest.bytes(name.as_bytes());
                record_item(digest, &item.model, item.adapter.as_deref());
            }
        }
    }

    pub(crate) fn value(&self) -> u64 {
        self.0.value()
    }
}

fn record_item(digest: &mut Digest, model: &str, adapter: Option<&str>) {
    digest.bytes(model.as_bytes());
    digest.byte(adapter.is_some().into());
    digest.bytes(adapter.unwrap_or_default().as_bytes());
}
