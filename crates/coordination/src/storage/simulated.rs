//! A simulated directory: what is not synced may be lost, truncated or retained when power is lost.

use std::collections::BTreeMap;
use std::io;

use rand::Rng;
use rand::rngs::SmallRng;

/// A change of names that is not synced yet.
#[derive(Debug, Clone)]
enum NameChange {
    Named { name: String, content: Vec<u8> },
    Renamed { from: String, to: String, content: Vec<u8> },
    Removed { name: String },
}

impl NameChange {
    /// The part of this change that remains unsynced once a new file named `replaced` is durable.
    fn without(self, replaced: &str) -> Option<Self> {
        match self {
            Self::Named { name, .. } | Self::Removed { name } if name == replaced => None,
            Self::Renamed { from, to, content } if from == replaced => {
                Some(Self::Named { name: to, content })
            }
            Self::Renamed { from, to, .. } if to == replaced => Some(Self::Removed { name: from }),
            other => Some(other),
        }
    }
}

/// A file's content.
#[derive(Debug, Clone, Default)]
struct Content {
    written: Vec<u8>,
    synced: bool,
}

/// A directory in memory with the durability of a disk.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDirectory {
    /// Files as a running process sees them.
    files: BTreeMap<String, Content>,
    /// Files that survive a loss of power.
    durable: BTreeMap<String, Vec<u8>>,
    unsynced: Vec<NameChange>,
    /// Capacity in bytes, if limited.
    pub capacity: Option<usize>,
    /// Whether every write fails.
    pub rejects_writes: bool,
    /// Number of operations after which the machine stops, if a crash is scheduled.
    pub operations_until_crash: Option<u32>,
}

impl SimulatedDirectory {
    /// An empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Power is lost: each unsynced change is retained, truncated or lost; sometimes all of them are lost.
    pub fn lose_power(&mut self, random: &mut SmallRng) {
        let retains_some = !random.random_bool(0.25);
        for (name, content) in std::mem::take(&mut self.files) {
            if !content.synced && retains_some && random.random_bool(0.5) {
                let length = random.random_range(0..=content.written.len());
                self.durable.insert(name, content.written[..length].to_vec());
            }
        }
        for change in std::mem::take(&mut self.unsynced) {
            if retains_some && random.random_bool(0.5) {
                self.make_durable(change);
            }
        }
        let synced = |written: &Vec<u8>| Content { written: written.clone(), synced: true };
        self.files = self.durable.iter().map(|(name, written)| (name.clone(), synced(written))).collect();
        self.operations_until_crash = None;
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&mut self) {
        let capacity = self.capacity;
        *self = Self { capacity, ..Self::default() };
    }

    fn make_durable(&mut self, change: NameChange) {
        match change {
            NameChange::Named { name, content } => {
                self.durable.insert(name, content);
            }
            NameChange::Renamed { from, to, content } => {
                self.durable.remove(&from);
                self.durable.insert(to, content);
            }
            NameChange::Removed { name } => {
                self.durable.remove(&name);
            }
        }
    }

    /// Counts an operation; fails once the machine has stopped.
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_until_crash {
            Some(0) => Err(io::Error::other("the machine has stopped")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn used(&self) -> usize {
        self.files.values().map(|content| content.written.len()).sum()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.remove(name);
        let free_space = self.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(self.used()));
        let fits = if self.rejects_writes { 0 } else { bytes.len().min(free_space) };
        let content = Content { written: bytes[..fits].to_vec(), synced: false };
        self.files.insert(name.to_owned(), content);
        if fits < bytes.len() || self.rejects_writes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl super::directory::Directory for SimulatedDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let content = self.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(content.written.clone())
    }

    fn write_new(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        self.write(name, bytes)?;
        self.count_operation()?;
        if let Some(content) = self.files.get_mut(name) {
            content.synced = true;
        }
        self.durable.insert(name.to_owned(), bytes.to_vec());
        let changes = std::mem::take(&mut self.unsynced);
        self.unsynced = changes.into_iter().filter_map(|change| change.without(name)).collect();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let content = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), content);
        let content = self.durable.get(from).cloned().unwrap_or_default();
        self.unsynced.push(NameChange::Renamed { from: from.to_owned(), to: to.to_owned(), content });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.unsynced.push(NameChange::Removed { name: name.to_owned() });
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.count_operation()?;
        for change in std::mem::take(&mut self.unsynced) {
            self.make_durable(change);
        }
        Ok(())
    }
}
