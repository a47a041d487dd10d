//! Records what operators, endpoints and routers observe, and checks it at every step.

use super::change::{Change, Form, maker};
use super::host::Host;
use super::violation::Violation;
use lanegate_config::configuration::Configuration;
use std::collections::BTreeMap;
use std::time::Duration;

/// The status of a change, as known to its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeStatus {
    /// It is being sent.
    Open,
    Taken,
    /// Another version is current.
    Refused,
    Invalid,
    /// Its operator has given up without a clear answer.
    Unclear,
}

/// A change and what is known of its outcome.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) change: Change,
    pub(super) status: ChangeStatus,
    /// Whether it has ever been acknowledged.
    pub(super) acknowledged: bool,
    /// Whether it has ever been refused.
    refused: bool,
    /// Whether it has been observed in force.
    observed: bool,
}

/// The status of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadStatus {
    Open,
    Served,
    /// 404.
    Missing,
    Unavailable,
}

/// A read, and the newest version that was acknowledged before it.
#[derive(Debug)]
pub(super) struct Read {
    floor: u64,
    pub(super) status: ReadStatus,
}

/// An order that an endpoint received.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentOrder {
    pub(super) endpoint: usize,
    pub(super) service: usize,
    pub(super) sender: Host,
    pub(super) token: u64,
    pub(super) at: Duration,
}

/// All observations.
#[derive(Debug, Default)]
pub(super) struct History {
    pub(super) changes: Vec<Sent>,
    pub(super) reads: Vec<Read>,
    /// The newest version that was acknowledged.
    pub(super) newest_acknowledged: u64,
    /// The newest version that operators know of.
    pub(super) newest_known: u64,
    /// The change that was accepted on top of each version.
    successors: BTreeMap<u64, usize>,
    /// Newest version that each router has had since its start.
    router_versions: BTreeMap<usize, u64>,
    /// The last order for each service.
    last_orders: BTreeMap<usize, SentOrder>,
    /// Highest token that each endpoint has seen.
    tokens: BTreeMap<usize, u64>,
    pub(super) orders: usize,
    /// How often a router removed a live endpoint from its list.
    pub(super) lost: usize,
    pub(super) seen_at: Duration,
    /// The first violation.
    pub(super) violation: Option<Violation>,
}

impl History {
    pub(super) fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// A change is about to be sent; returns its number.
    pub(super) fn change_sent(&mut self, form: Form, base: u64, version: u64) -> usize {
        let number = self.changes.len() + 1;
        self.changes.push(Sent {
            change: Change::new(number, form, base, version),
            status: ChangeStatus::Open,
            acknowledged: false,
            refused: false,
            observed: false,
        });
        number
    }

    pub(super) fn change(&self, number: usize) -> Option<&Sent> {
        self.changes.get(number.checked_sub(1)?)
    }

    fn change_mut(&mut self, number: usize) -> &mut Sent {
        &mut self.changes[number - 1]
    }

    /// A change was acknowledged.
    pub(super) fn change_accepted(&mut self, number: usize) {
        let sent = self.change_mut(number);
        sent.status = ChangeStatus::Taken;
        sent.acknowledged = true;
        let (version, invalid, refused) =
            (sent.change.version, sent.change.form == Form::Invalid, sent.refused);
        if invalid {
            self.record_violation(Violation::InvalidAcknowledged(number));
        }
        if refused {
            self.record_violation(Violation::AcknowledgedAfterRefusal(number));
        }
        self.newest_acknowledged = self.newest_acknowledged.max(version);
        self.newest_known = self.newest_known.max(version);
        self.took_effect(number);
    }

    /// A change was refused: if `invalid`, because of its content, otherwise because another version is current.
    pub(super) fn change_refused(&mut self, number: usize, invalid: bool) {
        let sent = self.change_mut(number);
        sent.status = if invalid { ChangeStatus::Invalid } else { ChangeStatus::Refused };
        sent.refused = true;
        if sent.acknowledged {
            self.record_violation(Violation::RefusedAfterAcknowledgement(number));
        } else if sent.observed {
            self.record_violation(Violation::RefusedInForce(number));
        } else if invalid && sent.change.form != Form::Invalid {
            self.record_violation(Violation::ValidRejected(number));
        }
    }

    pub(super) fn change_given_up(&mut self, number: usize) {
        let sent = self.change_mut(number);
        if sent.status == ChangeStatus::Open {
            sent.status = ChangeStatus::Unclear;
        }
    }

    /// A change is sent again.
    pub(super) fn change_sent_again(&mut self, number: usize) {
        self.change_mut(number).status = ChangeStatus::Open;
    }

    /// There is evidence that a change took effect.
    fn took_effect(&mut self, number: usize) {
        let base = self.change_mut(number).change.base;
        let successor = *self.successors.entry(base).or_insert(number);
        if successor != number {
            self.record_violation(Violation::TwoChangesOnOneVersion {
                base,
                first: successor,
                second: number,
            });
        }
    }

    /// A configuration was observed in force.
    fn observed(&mut self, configuration: &Configuration) {
        let number = maker(configuration).filter(|number| self.change(*number).is_some());
        let Some(number) = number else {
            return self.record_violation(Violation::UnknownConfigurationInForce(configuration.version));
        };
        let sent = self.change_mut(number);
        sent.observed = true;
        let (refused, invalid) = (sent.refused, sent.change.form == Form::Invalid);
        if sent.change.version != configuration.version {
            return self.record_violation(Violation::UnknownConfigurationInForce(configuration.version));
        }
        if refused || invalid {
            return self.record_violation(Violation::RefusedInForce(number));
        }
        self.newest_known = self.newest_known.max(configuration.version);
        self.took_effect(number);
    }

    pub(super) fn router_started(&mut self, router: usize) {
        self.router_versions.remove(&router);
    }

    /// A router has a configuration from now on.
    pub(super) fn router_has(&mut self, router: usize, configuration: &Configuration) {
        let version = configuration.version;
        let before = self.router_versions.insert(router, version);
        if let Some(from) = before.filter(|before| *before > version) {
            self.record_violation(Violation::RouterWentBack { router, from, to: version });
        }
        self.observed(configuration);
    }

    /// A read begins; returns its number.
    pub(super) fn read_started(&mut self) -> usize {
        self.reads.push(Read { floor: self.newest_acknowledged, status: ReadStatus::Open });
        self.reads.len()
    }

    /// A read returned a configuration.
    pub(super) fn read_served(&mut self, number: usize, body: &[u8]) {
        let read = &mut self.reads[number - 1];
        read.status = ReadStatus::Served;
        let floor = read.floor;
        match serde_json::from_slice::<Configuration>(body) {
            Ok(configuration) if configuration.version < floor => {
                self.record_violation(Violation::StaleRead {
                    read: number,
                    floor,
                    version: configuration.version,
                });
            }
            Ok(configuration) => self.observed(&configuration),
            Err(_) => self.record_violation(Violation::UnknownConfigurationInForce(0)),
        }
    }

    /// A read found no configuration.
    pub(super) fn read_missing(&mut self, number: usize) {
        let read = &mut self.reads[number - 1];
        read.status = ReadStatus::Missing;
        let floor = read.floor;
        if floor > 0 {
            self.record_violation(Violation::StaleRead { read: number, floor, version: 0 });
        }
    }

    pub(super) fn read_given_up(&mut self, number: usize) {
        self.reads[number - 1].status = ReadStatus::Unavailable;
    }

    /// An endpoint has restarted and no longer knows earlier tokens.
    pub(super) fn endpoint_started(&mut self, endpoint: usize) {
        self.tokens.remove(&endpoint);
    }

    /// An order reached its endpoint. `quiet` is the minimum time between orders of two different senders.
    pub(super) fn record_order(&mut self, order: SentOrder, quiet: Duration) {
        self.orders += 1;
        let highest = self.tokens.entry(order.endpoint).or_default();
        if order.token < *highest {
            let token = order.token;
            let highest = *highest;
            return self.record_violation(Violation::TokenWentBack { highest, token });
        }
        *highest = order.token;
        let Some(last) = self.last_orders.insert(order.service, order) else { return };
        if last.sender == order.sender {
            return;
        }
        if last.token == order.token {
            self.record_violation(Violation::TokenShared(order.token));
        } else if order.at < last.at + quiet {
            let after_ms = (order.at - last.at).as_millis() as u64;
            self.record_violation(Violation::TwoPlacers {
                first: last.sender,
                second: order.sender,
                after_ms,
            });
        }
    }
}
