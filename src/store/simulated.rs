//! A disk in memory that fails, or loses its process, at a call of one's choice.

use super::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// What is done at a call, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// That call fails, after so many bytes of it; later ones work.
    Fails {
        call: usize,
        after: usize,
    },
    /// The process ends within that call, after so many bytes of it.
    Ends {
        call: usize,
        after: usize,
    },
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    calls: usize,
    gone: bool,
    /// Bytes of each call that writes, 0 of the others.
    sizes: Vec<usize>,
}

/// Its clones are handles of the same disk.
#[derive(Clone, Default)]
pub(crate) struct Simulated {
    state: Rc<RefCell<State>>,
    fault: Rc<RefCell<Option<Fault>>>,
}

impl Simulated {
    pub(crate) fn new(files: BTreeMap<String, Vec<u8>>, fault: Fault) -> Self {
        let state = State { files, ..State::default() };
        Simulated { state: Rc::new(RefCell::new(state)), fault: Rc::new(RefCell::new(Some(fault))) }
    }

    pub(crate) fn files(&self) -> BTreeMap<String, Vec<u8>> {
        self.state.borrow().files.clone()
    }

    /// Bytes that each call so far has written.
    pub(crate) fn sizes(&self) -> Vec<usize> {
        self.state.borrow().sizes.clone()
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state.borrow().gone
    }

    /// Bytes, in whole 512 for each file.
    pub(crate) fn size(&self) -> u64 {
        self.state.borrow().files.values().map(|f| f.len().next_multiple_of(512) as u64).sum()
    }

    /// One call that changes the disk: done whole, or as far as the fault lets it.
    fn call(&self, bytes: usize, act: impl FnOnce(&mut State, usize)) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        if state.gone {
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
                state.gone = true;
                Err(io::ErrorKind::BrokenPipe.into())
            }
            _ => {
                act(&mut state, bytes);
                Ok(())
            }
        }
    }
}

impl Disk for Simulated {
    type File = String;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.state.borrow().files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read_head(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let mut head = self.read(name)?;
        head.truncate(most);
        Ok(head)
    }

    fn create(&self, name: &str) -> io::Result<String> {
        if self.state.borrow().files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        self.call(1, |state, done| {
            if done > 0 {
                state.files.insert(name.to_owned(), Vec::new());
            }
        })?;
        Ok(name.to_owned())
    }

    fn write(&self, file: &mut String, bytes: &[u8]) -> io::Result<()> {
        self.call(bytes.len(), |state, done| {
            // A file that was removed can still be written to; nobody will read it.
            if let Some(held) = state.files.get_mut(file) {
                held.extend_from_slice(&bytes[..done]);
            }
        })
    }

    fn cut(&self, file: &mut String, size: u64) -> io::Result<()> {
        self.call(1, |state, done| {
            if let Some(held) = state.files.get_mut(file).filter(|_| done > 0) {
                held.truncate(size as usize);
            }
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.call(1, |state, done| {
            if done > 0 {
                state.files.remove(name);
            }
        })
    }
}
