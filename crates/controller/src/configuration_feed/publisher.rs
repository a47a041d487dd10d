//! The side of a configuration's source: announces the newest one and answers fetches.

use super::difference;
use crate::message::{ConfigurationDifference, ConfigurationVersion, Decided, Message};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Most bytes of documents kept, the newest excepted.
const KEPT_BYTES: usize = 8 * 1024 * 1024;

/// The newest configuration and the ones shortly before it.
#[derive(Debug)]
pub struct ConfigurationPublisher {
    capacity: usize,
    /// The oldest first.
    versions: VecDeque<Kept>,
    /// Answers with the newest configuration, by the digest of the base; made once for all readers.
    answers: BTreeMap<u64, Bytes>,
}

#[derive(Debug)]
struct Kept {
    version: ConfigurationVersion,
    document: Vec<u8>,
}

impl ConfigurationPublisher {
    /// A publisher of nothing yet, that keeps `capacity` documents as bases of differences.
    pub fn keeping(capacity: usize) -> Self {
        ConfigurationPublisher { capacity, versions: VecDeque::new(), answers: BTreeMap::new() }
    }

    /// Takes a newer configuration. Tells what readers have to hear; `None` if it is not newer.
    pub fn publish(&mut self, decided: Decided) -> Option<Message> {
        let version = ConfigurationVersion::of(decided.revision, &decided.document.bytes);
        if self.newest().is_some_and(|newest| newest.version.revision >= version.revision) {
            return None;
        }
        self.answers.clear();
        self.versions.push_back(Kept { version, document: decided.document.bytes });
        while self.keeps_too_much() {
            self.versions.pop_front();
        }
        self.announcement()
    }

    /// The announcement of the newest configuration; `None` before the first.
    pub fn announcement(&self) -> Option<Message> {
        Some(Message::ConfigurationAnnounced(self.newest()?.version))
    }

    /// The frame that brings a reader that has `base` to the newest configuration; `None` if there is none, or
    /// the reader has it.
    pub fn answer(&mut self, base: ConfigurationVersion) -> Option<Bytes> {
        let newest = self.newest()?;
        if newest.version.digest == base.digest && base != ConfigurationVersion::NONE {
            return None;
        }
        if let Some(frame) = self.answers.get(&base.digest) {
            return Some(frame.clone());
        }
        let whole = whole(newest);
        let kept = self.versions.iter().find(|kept| kept.version.digest == base.digest);
        let difference = kept.map(|kept| difference(kept, newest));
        let frame = difference.filter(|frame| frame.len() < whole.len()).unwrap_or(whole);
        self.answers.insert(base.digest, frame.clone());
        Some(frame)
    }

    fn newest(&self) -> Option<&Kept> {
        self.versions.back()
    }

    fn keeps_too_much(&self) -> bool {
        let bytes: usize = self.versions.iter().rev().skip(1).map(|kept| kept.document.len()).sum();
        self.versions.len() > self.capacity || bytes > KEPT_BYTES
    }
}

fn whole(kept: &Kept) -> Bytes {
    let document = kept.document.clone().into();
    Message::Decided(Decided { revision: kept.version.revision, document }).frame()
}

fn difference(base: &Kept, newest: &Kept) -> Bytes {
    let parts = difference::between(&base.document, &newest.document).into();
    let (base, version) = (base.version.digest, newest.version);
    Message::ConfigurationDifference(ConfigurationDifference { base, version, parts }).frame()
}
