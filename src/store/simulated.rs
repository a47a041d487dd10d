//! A simulated disk in memory that fails, or loses its process or its power, at a chosen call. Unsynced data
//! is tracked separately: after a power loss any part of it may be there.

use super::disk::Disk;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

/// A sector is written whole or, if the write is torn, only its beginning.
const SECTOR: usize = 512;
/// Up to ALL_OF unsynced changes, every subset of them is tried; with more, DRAWN random subsets.
const ALL_OF: usize = 5;
const DRAWN: usize = 24;

/// The fault at a call; calls are counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// This call fails after so many bytes; later ones work.
    Fails {
        call: usize,
        after: usize,
    },
    /// This read call fails; read calls are counted separately.
    FailsRead {
        call: usize,
    },
    /// The process ends within this call, after so many bytes.
    Ends {
        call: usize,
        after: usize,
    },
}

/// Calls that report success without doing anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IgnoredCalls {
    pub(crate) sync: bool,
    pub(crate) sync_folder: bool,
}

/// A file, independent of its name.
#[derive(Clone, Debug, Default)]
struct Inode {
    /// Contents as read by a process.
    data: Vec<u8>,
    /// Contents on disk.
    synced: Vec<u8>,
    /// Sectors that the next sync writes, and those that a failed sync has dropped: no later sync writes
    /// them.
    dirty: BTreeSet<usize>,
    dropped: BTreeSet<usize>,
}

impl Inode {
    fn touched(&self) -> impl Iterator<Item = usize> {
        self.dirty.union(&self.dropped).copied()
    }

    fn touch(&mut self, from: usize, to: usize) {
        self.dirty.extend(from / SECTOR..to.div_ceil(SECTOR));
    }

    fn write_through(&mut self, sector: usize, bytes: usize) {
        let from = sector * SECTOR;
        let to = (from + bytes).min(self.data.len());
        if to > from {
            self.synced.resize(self.synced.len().max(to), 0);
            self.synced[from..to].copy_from_slice(&self.data[from..to]);
        }
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String),
    Removed(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Created(name, inode) => _ = names.insert(name.clone(), *inode),
            NameChange::Removed(name) => _ = names.remove(name),
            NameChange::Renamed(from, to) => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
        }
    }
}

#[derive(Clone, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    /// Changes to names since the folder was last synced.
    unsynced: Vec<NameChange>,
    calls: usize,
    /// Number of read calls.
    reads: usize,
    ended: bool,
    /// Bytes of each call that changes the disk, 0 for the others.
    sizes: Vec<usize>,
}

pub(crate) type Files = BTreeMap<String, Vec<u8>>;

impl State {
    fn inode(&mut self, name: &str) -> Option<&mut Inode> {
        let inode = *self.names.get(name)?;
        self.inodes.get_mut(inode)
    }

    /// All unsynced changes that may or may not survive a power loss.
    fn unsynced_changes(&self) -> Vec<UnsyncedChange> {
        let sectors = self.inodes.iter().enumerate().flat_map(|(n, inode)| {
            inode.touched().map(move |sector| UnsyncedChange::Sector(n, sector)).collect::<Vec<_>>()
        });
        sectors.chain((0..self.unsynced.len()).map(UnsyncedChange::Name)).collect()
    }

    /// The disk after a power loss if only these changes reached it; of the torn sector only the beginning.
    fn left(&self, survived: &[UnsyncedChange], torn: Option<(UnsyncedChange, usize)>, long: bool) -> Files {
        let mut names = self.synced.clone();
        let mut inodes = self.inodes.clone();
        let survived =
            survived.iter().filter(|l| Some(**l) != torn.map(|t| t.0)).map(|l| (*l, SECTOR)).chain(torn);
        let mut survived: Vec<_> = survived.collect();
        survived.sort();
        for (unsynced, bytes) in survived {
            match unsynced {
                UnsyncedChange::Sector(n, sector) => inodes[n].write_through(sector, bytes),
                UnsyncedChange::Name(n) => self.unsynced[n].apply(&mut names),
            }
        }
        let file = |inode: &Inode| {
            let mut bytes = inode.synced.clone();
            // The file's new length may have reached the disk without its data.
            bytes.resize(if long { bytes.len().max(inode.data.len()) } else { bytes.len() }, 0);
            bytes
        };
        names.into_iter().map(|(name, n)| (name, file(&inodes[n]))).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UnsyncedChange {
    Name(usize),
    Sector(usize, usize),
}

type Watch = Box<dyn FnMut()>;

/// Clones are handles of the same disk.
#[derive(Clone, Default)]
pub(crate) struct Simulated {
    state: Rc<RefCell<State>>,
    fault: Rc<RefCell<Option<Fault>>>,
    ignored: IgnoredCalls,
    /// Called after each call that changes the disk.
    watch: Rc<RefCell<Option<Watch>>>,
}

impl Simulated {
    /// A disk that holds these files, synced.
    pub(crate) fn new(files: Files, fault: Fault) -> Self {
        let mut state = State::default();
        for (name, bytes) in files {
            state.names.insert(name, state.inodes.len());
            state.inodes.push(Inode { data: bytes.clone(), synced: bytes, ..Inode::default() });
        }
        state.synced = state.names.clone();
        let state = Rc::new(RefCell::new(state));
        Simulated { state, fault: Rc::new(RefCell::new(Some(fault))), ..Simulated::default() }
    }

    pub(crate) fn ignoring(self, ignored: IgnoredCalls) -> Self {
        Simulated { ignored, ..self }
    }

    /// From now on `watch` is called after each call that changes the disk.
    pub(crate) fn watch(&self, watch: impl FnMut() + 'static) {
        *self.watch.borrow_mut() = Some(Box::new(watch));
    }

    pub(crate) fn unwatch(&self) {
        *self.watch.borrow_mut() = None;
    }

    /// The disk as the next process finds it if this one is killed now: unsynced data reads as written, and
    /// is still unsynced.
    pub(crate) fn after_a_kill(&self) -> Simulated {
        let state = State { calls: 0, sizes: Vec::new(), ..self.state.borrow().clone() };
        Simulated { state: Rc::new(RefCell::new(state)), ..Simulated::default() }
    }

    pub(crate) fn files(&self) -> Files {
        let state = self.state.borrow();
        state.names.iter().map(|(name, n)| (name.clone(), state.inodes[*n].data.clone())).collect()
    }

    /// All states that may be found after a power loss now, without duplicates.
    pub(crate) fn after_power_loss(&self, seed: u64) -> BTreeSet<Files> {
        let state = self.state.borrow();
        let (unsynced, mut rng) = (state.unsynced_changes(), SmallRng::seed_from_u64(seed));
        let sets: Vec<Vec<UnsyncedChange>> = if unsynced.len() <= ALL_OF {
            let of = |set: usize| (0..unsynced.len()).filter(move |n| set & (1 << n) != 0);
            (0..1 << unsynced.len()).map(|set| of(set).map(|n| unsynced[n]).collect()).collect()
        } else {
            let drawn = (0..DRAWN).map(|_| {
                let mut some = unsynced.clone();
                some.shuffle(&mut rng);
                some.truncate(rng.random_range(0..=unsynced.len()));
                some
            });
            drawn.chain([Vec::new(), unsynced.clone()]).collect()
        };
        let mut left = BTreeSet::new();
        for survived in sets {
            let sectors: Vec<_> =
                survived.iter().filter(|l| matches!(l, UnsyncedChange::Sector(..))).copied().collect();
            left.insert(state.left(&survived, None, false));
            left.insert(state.left(&survived, None, true));
            if !sectors.is_empty() {
                let torn = (sectors[rng.random_range(0..sectors.len())], rng.random_range(1..SECTOR));
                left.insert(state.left(&survived, Some(torn), false));
                left.insert(state.left(&survived, Some(torn), true));
            }
        }
        left
    }

    /// Corrupts a byte, both on disk and as read.
    pub(crate) fn corrupt(&self, name: &str, at: usize) {
        if let Some(inode) = self.state.borrow_mut().inode(name) {
            inode.data[at] ^= 1;
            inode.synced = inode.data.clone();
        }
    }

    /// Bytes written by each call so far.
    pub(crate) fn sizes(&self) -> Vec<usize> {
        self.state.borrow().sizes.clone()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.state.borrow().ended
    }

    /// Size in bytes, with each file rounded up to whole sectors.
    pub(crate) fn size(&self) -> u64 {
        self.files().values().map(|f| f.len().next_multiple_of(SECTOR) as u64).sum()
    }

    /// One call that changes the disk: completes, or stops where the fault says.
    fn call(&self, bytes: usize, act: impl FnOnce(&mut State, usize)) -> io::Result<()> {
        let done = {
            let mut state = self.state.borrow_mut();
            if state.ended {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let call = state.calls;
            state.calls += 1;
            state.sizes.push(bytes);
            match self.fault.borrow().unwrap_or(Fault::None) {
                Fault::Fails { call: at, after } if at == call => {
                    act(&mut state, after.min(bytes));
                    Err(io::ErrorKind::StorageFull.into())
                }
                Fault::Ends { call: at, after } if at == call => {
                    act(&mut state, after.min(bytes));
                    state.ended = true;
                    Err(io::ErrorKind::BrokenPipe.into())
                }
                _ => {
                    act(&mut state, bytes);
                    Ok(())
                }
            }
        };
        if let Some(watch) = self.watch.borrow_mut().as_mut() {
            watch();
        }
        done
    }

    fn reading(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.reads += 1;
        match *self.fault.borrow() {
            Some(Fault::FailsRead { call }) if call + 1 == state.reads => {
                Err(io::Error::other("cannot be read"))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn reads(&self) -> usize {
        self.state.borrow().reads
    }

    fn sync_inode(&self, of: impl Fn(&State) -> Option<usize>) -> io::Result<()> {
        if self.ignored.sync {
            return Ok(());
        }
        self.call(1, |state, done| {
            let Some(n) = of(state) else { return };
            let inode = &mut state.inodes[n];
            let dirty = std::mem::take(&mut inode.dirty);
            if done == 0 {
                // These pages count as clean from here on, but are not on disk.
                inode.dropped.extend(dirty);
            } else {
                dirty.iter().for_each(|sector| inode.write_through(*sector, SECTOR));
                let length = inode.data.len();
                inode.synced.truncate(length);
            }
        })
    }
}

impl Disk for Simulated {
    type File = usize;

    fn list(&self) -> io::Result<Vec<String>> {
        self.reading()?;
        Ok(self.state.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.reading()?;
        let mut state = self.state.borrow_mut();
        state.inode(name).map(|inode| inode.data.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read_head(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut head = self.read(name)?;
        head.truncate(most);
        Ok(head)
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        if self.state.borrow().names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let mut made = 0;
        self.call(1, |state, done| {
            if done > 0 {
                made = state.inodes.len();
                state.inodes.push(Inode::default());
                state.names.insert(name.to_owned(), made);
                state.unsynced.push(NameChange::Created(name.to_owned(), made));
            }
        })?;
        Ok(made)
    }

    fn write(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        self.call(bytes.len(), |state, done| {
            let inode = &mut state.inodes[*file];
            let from = inode.data.len();
            inode.data.extend_from_slice(&bytes[..done]);
            inode.touch(from, from + done);
        })
    }

    fn truncate(&self, file: &mut usize, size: u64) -> io::Result<()> {
        self.call(1, |state, done| {
            if done > 0 {
                let inode = &mut state.inodes[*file];
                let (to, from) = (inode.data.len(), size as usize);
                inode.data.truncate(from);
                inode.touch(from, to);
            }
        })
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        self.sync_inode(|_| Some(*file))
    }

    fn sync_existing(&self, name: &str) -> io::Result<()> {
        self.sync_inode(|state| state.names.get(name).copied())
    }

    fn sync_folder(&self) -> io::Result<()> {
        if self.ignored.sync_folder {
            return Ok(());
        }
        self.call(1, |state, done| {
            if done > 0 {
                state.unsynced.clear();
                state.synced = state.names.clone();
            }
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.call(1, |state, done| {
            if done > 0 {
                let moved = NameChange::Renamed(from.to_owned(), to.to_owned());
                moved.apply(&mut state.names);
                state.unsynced.push(moved);
            }
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if !self.state.borrow().names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.call(1, |state, done| {
            if done > 0 {
                let removed = NameChange::Removed(name.to_owned());
                removed.apply(&mut state.names);
                state.unsynced.push(removed);
            }
        })
    }
}
