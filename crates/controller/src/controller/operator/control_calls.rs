//! Handling of calls on the control interface.

use crate::controller::consensus::fault_tolerance::FailureUnit;
use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::consensus::shards;
use crate::controller::event::{Answer, Call, Method};
use crate::controller::operator::unavailable::Unavailable;
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use crate::message::{Forwarded, Message, Token};
use lanegate_config::control_state::{Command, Method as ChangeMethod, Outcome, apply};
use lanegate_config::findings::Findings;
use std::collections::BTreeMap;

/// Path at which the configuration is read and changed.
const CONFIGURATION_PATH: &str = "/config";
/// Path prefix under which endpoints register.
const INSTANCES_PATH: &str = "/instances/";
/// Path of the status document.
const STATUS_PATH: &str = "/status";

impl Controller {
    /// Handles a call, which is answered at once or after a register request has completed.
    pub(crate) fn call(&mut self, call: Call) {
        if self.is_draining() && call.path != STATUS_PATH {
            return answer(call, Answer::unavailable(Unavailable::Draining));
        }
        if let Some(id) = call.path.strip_prefix(INSTANCES_PATH) {
            let id = id.to_owned();
            return self.instance_call(&id, call);
        }
        match (call.path.as_str(), call.method) {
            (CONFIGURATION_PATH, Method::Get) => self.read_configuration(call),
            (CONFIGURATION_PATH, Method::Put) => self.change_configuration(ChangeMethod::Put, call),
            (CONFIGURATION_PATH, Method::Patch) => self.change_configuration(ChangeMethod::Patch, call),
            (STATUS_PATH, Method::Get) => answer(call, self.status()),
            (CONFIGURATION_PATH | STATUS_PATH, _) => answer(call, Answer::error(405, "no such method here")),
            _ => answer(call, Answer::error(404, "no such path")),
        }
    }

    fn instance_call(&mut self, id: &str, call: Call) {
        if id.is_empty() || id.contains('/') {
            return answer(call, Answer::error(404, "no such path"));
        }
        let known = self.acknowledging_groups();
        let now = self.now();
        let without_contact = self.has_fault(ControllerFault::AcknowledgeHeartbeatWithoutContact);
        let in_contact = without_contact || self.has_contact(shards::CONFIGURATION);
        let changes = match call.method {
            Method::Put => self.endpoints.register(now, id, call.body, &known, in_contact, call.reply),
            Method::Delete => self.endpoints.deregister(now, id, &known, call.reply),
            _ => return answer(call, Answer::error(405, "no such method here")),
        };
        for message in &changes.messages {
            self.subscribers.append(message);
            self.peers.broadcast(message);
        }
        self.update_placers(id);
        self.update_placers_of_removed(&changes.messages);
        if let Some(token) = changes.flush {
            self.peers.broadcast(&Message::Flush(Token { token }));
        }
    }

    /// The groups of which a majority has to have a drain or an end before it is acknowledged.
    pub(crate) fn acknowledging_groups(&self) -> KnownGroups {
        if self.has_fault(ControllerFault::AcknowledgeDrainLocally) {
            return KnownGroups::only(self.own_address);
        }
        self.known_groups(shards::CONFIGURATION)
    }

    fn read_configuration(&mut self, call: Call) {
        if self.has_fault(ControllerFault::ReadLocally) {
            let document =
                self.committed_configuration.as_ref().map(|committed| committed.document.bytes.clone());
            let known = document.map(|document| Answer::new(200, document));
            return answer(call, known.unwrap_or_else(|| Answer::unavailable(Unavailable::NoMajority)));
        }
        let request = self.request_number();
        self.start_read(request, InFlightRequest::Read(call.reply));
    }

    fn change_configuration(&mut self, method: ChangeMethod, call: Call) {
        let if_match = match call.if_match {
            Some(Err(text)) => {
                let text = format!("If-Match: {text:?} is no version");
                let _ = call.reply.send(Answer::error(400, &text));
                return;
            }
            Some(Ok(version)) => Some(version),
            None => None,
        };
        let command = Command { method, if_match, body: call.body.to_vec() }.encode();
        if let Some(refusal) = self.local_refusal(&command) {
            let _ = call.reply.send(refusal);
            return;
        }
        let owner = self.owner(shards::CONFIGURATION, &[shards::CONFIGURATION]);
        let elsewhere = owner != self.own_address;
        let now = self.now();
        let Some(request) = self.pending_changes.begin(now, command.clone(), call.reply, elsewhere) else {
            return;
        };
        if elsewhere {
            self.peers.send(owner, &Message::Change(Forwarded { request, body: command.into() }));
        } else {
            self.propose_change(request);
        }
    }

    /// The answer with the fault [`ControllerFault::RefuseLocally`]; `None` without it.
    fn local_refusal(&self, command: &[u8]) -> Option<Answer> {
        let known = self.shards.get(shards::CONFIGURATION).committed()?;
        let wrong = self.has_fault(ControllerFault::RefuseLocally);
        let (outcome, _) = wrong.then(|| apply(&known.state, command).ok())??;
        (!outcome.is_acknowledged()).then(|| change_answer(&outcome.encode()))
    }

    pub(crate) fn status(&self) -> Answer {
        let shards: Vec<serde_json::Value> = self
            .shards
            .iter()
            .map(|(shard, replica)| {
                let members: Vec<String> = self.group(shard).iter().map(ToString::to_string).collect();
                let states: BTreeMap<String, String> = self.member_states(shard).collect();
                let mut status = serde_json::json!({
                    "Shard": shard,
                    "Replica": format!("{:?}", replica.status()),
                    "Revision": replica.committed().map(|value| value.revision),
                    "Members": members,
                    "MemberStates": states,
                    "Margin": self.fault_tolerance(shard),
                    "Owner": self.owner(shard, &[shard]).to_string(),
                    "Contact": self.has_contact(shard),
                });
                for (unit, name) in [(FailureUnit::Zone, "ZoneMargin"), (FailureUnit::Region, "RegionMargin")]
                {
                    if self.required_tolerance(unit) > 0 {
                        status[name] = self.tolerable_losses(shard, unit).into();
                    }
                }
                status
            })
            .collect();
        let live: Vec<String> = self.membership.live().map(|node| node.to_string()).collect();
        let status = serde_json::json!({
            "Controller": self.own_address.to_string(),
            "Name": self.settings.node_name,
            "Life": self.incarnation,
            "UptimeS": self.now().as_secs(),
            "Quorum": self.has_contact(shards::CONFIGURATION),
            "Current": self.is_current(),
            "Complete": self.complete,
            "Leaving": self.is_draining(),
            "LiveControllers": live,
            "Instances": self.endpoints.live().count(),
            "Readers": self.subscribers.count(),
            "Routers": self.routers.count(self.now()),
            "Shards": shards,
        });
        Answer::new(200, status.to_string())
    }
}

fn answer(call: Call, answer: Answer) {
    let _ = call.reply.send(answer);
}

fn findings_body(error: &str, findings: &Findings) -> serde_json::Value {
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    serde_json::json!({ "Error": error, "Findings": findings })
}

/// The answer to an operator for the encoded outcome of a change.
pub(crate) fn change_answer(encoded: &[u8]) -> Answer {
    let outcome = match Outcome::decode(encoded) {
        Ok(outcome) => outcome,
        Err(error) => {
            let text = format!("no clear answer: {error}");
            let unavailable = Some(Unavailable::ChangeUnclear);
            return Answer { unavailable, ..Answer::error(503, &text) };
        }
    };
    let body = match &outcome {
        Outcome::Taken { version } => serde_json::json!({ "Version": version }),
        Outcome::AlreadyTaken { current } => serde_json::json!({ "Version": current, "AlreadyTaken": true }),
        Outcome::Conflict { current } => {
            serde_json::json!({ "Error": "another version is current", "Version": current })
        }
        Outcome::Invalid(findings) => findings_body("the change is not valid", findings),
        Outcome::Unclear(findings) => findings_body("no clear answer", findings),
    };
    let is_unclear = matches!(outcome, Outcome::Unclear(_));
    let unavailable = is_unclear.then_some(Unavailable::ChangeUnclear);
    Answer { unavailable, ..Answer::new(outcome.status(), body.to_string()) }
}
