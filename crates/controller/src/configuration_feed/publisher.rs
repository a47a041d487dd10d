//! The publishing side of the configuration feed: announces the newest version and answers fetches.

use super::delta;
use crate::message::{CommittedConfiguration, ConfigurationDelta, ConfigurationVersion, Message};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Maximum total size in bytes of the retained documents, not counting the newest.
const RETAINED_BYTES: usize = 8 * 1024 * 1024;

/// The newest configuration, and recent ones as bases of deltas.
#[derive(Debug)]
pub struct ConfigurationPublisher {
    capacity: usize,
    /// Oldest first.
    versions: VecDeque<RetainedConfiguration>,
    /// Answers with the newest configuration, by the digest of the base; encoded once for all subscribers.
    answers: BTreeMap<u64, Bytes>,
}

#[derive(Debug)]
struct RetainedConfiguration {
    version: ConfigurationVersion,
    document: Vec<u8>,
}

impl ConfigurationPublisher {
    /// A publisher without a configuration, which retains up to `capacity` documents, the newest included.
    pub fn with_capacity(capacity: usize) -> Self {
        ConfigurationPublisher { capacity, versions: VecDeque::new(), answers: BTreeMap::new() }
    }

    /// Publishes a newer configuration. Returns the announcement for subscribers; `None` if it is not newer.
    pub fn publish(&mut self, committed: CommittedConfiguration) -> Option<Message> {
        let version = ConfigurationVersion::of(committed.revision, &committed.document.bytes);
        if self.newest().is_some_and(|newest| newest.version.revision >= version.revision) {
            return None;
        }
        self.answers.clear();
        self.versions.push_back(RetainedConfiguration { version, document: committed.document.bytes });
        while self.exceeds_retention() {
            self.versions.pop_front();
        }
        self.announcement()
    }

    /// The announcement of the newest configuration; `None` before the first.
    pub fn announcement(&self) -> Option<Message> {
        Some(Message::ConfigurationAnnounced(self.newest()?.version))
    }

    /// The frame that updates a subscriber from `base` to the newest configuration; `None` if there is no configuration
    /// or the subscriber already has the newest.
    pub fn answer(&mut self, base: ConfigurationVersion) -> Option<Bytes> {
        let newest = self.newest()?;
        if newest.version.digest == base.digest && base != ConfigurationVersion::NONE {
            return None;
        }
        if let Some(frame) = self.answers.get(&base.digest) {
            return Some(frame.clone());
        }
        let complete_frame = complete_frame(newest);
        let retained = self.versions.iter().find(|retained| retained.version.digest == base.digest);
        let delta = retained.map(|retained| delta(retained, newest));
        let frame = delta.filter(|frame| frame.len() < complete_frame.len()).unwrap_or(complete_frame);
        self.answers.insert(base.digest, frame.clone());
        Some(frame)
    }

    fn newest(&self) -> Option<&RetainedConfiguration> {
        self.versions.back()
    }

    fn exceeds_retention(&self) -> bool {
        let bytes: usize = self.versions.iter().rev().skip(1).map(|retained| retained.document.len()).sum();
        self.versions.len() > self.capacity || bytes > RETAINED_BYTES
    }
}

fn complete_frame(retained: &RetainedConfiguration) -> Bytes {
    let document = retained.document.clone().into();
    Message::CommittedConfiguration(CommittedConfiguration { revision: retained.version.revision, document })
        .frame()
}

fn delta(base: &RetainedConfiguration, newest: &RetainedConfiguration) -> Bytes {
    let parts = delta::compute(&base.document, &newest.document).into();
    let (base, version) = (base.version.digest, newest.version);
    Message::ConfigurationDelta(ConfigurationDelta { base, version, parts }).frame()
}
