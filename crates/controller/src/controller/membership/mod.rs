//! Membership: links to the other controllers, their messages and status, changes of replica groups, and the graceful
//! shutdown of this controller.

pub(super) mod failure_domains;
#[cfg(test)]
mod failure_domains_test;
pub(super) mod handover;
#[cfg(test)]
mod handover_test;
pub(super) mod links;
pub(super) mod member_status;
#[cfg(test)]
mod member_status_test;
pub(super) mod peer_discovery;
pub(super) mod peer_messages;
pub(super) mod peers;
pub(super) mod reconfiguration;
pub(super) mod replacement;
#[cfg(test)]
mod replacement_test;
pub(super) mod shutdown;
