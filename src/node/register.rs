//! What operators have set: endpoints taken offline, and whether the courier is out of service. Stored in the
//! state folder. Shared by the operators' thread, which changes it, and the courier, which applies it.

use crate::store::Durability;
use crate::store::disk::Folder;
use crate::store::page;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedMutexGuard, oneshot};

const NAME: &str = "operators";
/// Upper bound of the file's size. While it is replaced, the old and the new file exist side by side: the
/// journal leaves room for both.
const MAX_FILE: usize = 4 * 1024;
pub const MAX_DISK: u64 = 4 * MAX_FILE as u64;

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Endpoint { id: String, out: bool },
    Service { out: bool },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Change::Endpoint { id, out: true } => write!(f, "{id} offline"),
            Change::Endpoint { id, out: false } => write!(f, "{id} online"),
            Change::Service { out: true } => write!(f, "out of service"),
            Change::Service { out: false } => write!(f, "in service"),
        }
    }
}

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// There is no endpoint with this id.
    #[serde(rename = "Unknown")]
    UnknownEndpoint,
    /// Another process is serving, or none yet.
    NotServing,
    /// The change could not be written to the state folder.
    #[serde(rename = "Unrecorded")]
    NotPersisted,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Page {
    out: BTreeSet<String>,
    #[serde(default)]
    out_of_service: bool,
}

/// A change for the process that is serving now, and the channel for its result.
pub type Forward = (Change, oneshot::Sender<Result<(), ChangeError>>);

/// The role of this process.
#[derive(Default)]
enum Role {
    /// It does not accept clients yet, or no longer does.
    #[default]
    Idle,
    Serves(UnboundedSender<Change>),
    /// A successor has taken over.
    Replaced(UnboundedSender<Forward>),
}

#[derive(Default)]
struct State {
    page: Page,
    /// Ids on the courier's endpoint list.
    listed: BTreeSet<String>,
    role: Role,
    /// The process is stopping, but still applies changes.
    stopping: bool,
}

pub struct Register {
    folder: PathBuf,
    durability: Durability,
    state: Mutex<State>,
    /// Serialises changes: each is recorded before the next is examined.
    turn: Arc<tokio::sync::Mutex<()>>,
}

impl Register {
    pub fn new(folder: &Path, durability: Durability) -> Arc<Self> {
        let folder = folder.to_owned();
        Arc::new(Register { folder, durability, state: Mutex::default(), turn: Arc::default() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what earlier processes have recorded. A file that cannot be read must not be treated as absent:
    /// calls would go to endpoints that operators have taken offline.
    pub fn load(&self) -> io::Result<()> {
        let page: Option<Page> = page::read(&Folder::at(&self.folder), NAME)?;
        self.state().page = page.unwrap_or_default();
        Ok(())
    }

    pub fn serves(&self) -> bool {
        let state = self.state();
        matches!(state.role, Role::Serves(_)) && !state.stopping
    }

    /// From now on this process serves; changes are sent to the receiver.
    pub fn serve(&self) -> UnboundedReceiver<Change> {
        let (changes, changed) = unbounded_channel();
        self.state().role = Role::Serves(changes);
        changed
    }

    /// This process accepts no more clients and stops.
    pub fn end(&self) {
        self.state().stopping = true;
    }

    /// Another process serves from now on; changes requested here are sent to the receiver, to be forwarded.
    pub fn forward(&self) -> UnboundedReceiver<Forward> {
        let (forwards, forwarded) = unbounded_channel();
        self.state().role = Role::Replaced(forwards);
        forwarded
    }

    /// Blocks changes until the guard is dropped.
    pub async fn block_changes(&self) -> OwnedMutexGuard<()> {
        self.turn.clone().lock_owned().await
    }

    pub fn out_of_service(&self) -> bool {
        self.state().page.out_of_service
    }

    pub fn is_out(&self, id: &str) -> bool {
        self.state().page.out.contains(id)
    }

    /// Sets the ids on the courier's current endpoint list.
    pub fn set_listed(&self, ids: BTreeSet<String>) {
        self.state().listed = ids;
    }

    /// Makes a change: records it, puts it in force, then sends it to the courier. A change that alters
    /// nothing succeeds at once.
    pub async fn set(self: Arc<Self>, change: Change) -> Result<(), ChangeError> {
        let this = self.clone();
        let task = async move {
            let _turn = this.turn.lock().await;
            let forwards = match &this.state().role {
                Role::Idle => return Err(ChangeError::NotServing),
                Role::Serves(_) => None,
                Role::Replaced(forwards) => Some(forwards.clone()),
            };
            if let Some(forwards) = forwards {
                let (reply, answer) = oneshot::channel();
                let _ = forwards.send((change, reply));
                return answer.await.unwrap_or(Err(ChangeError::NotServing));
            }
            let page = {
                let state = this.state();
                let mut page = state.page.clone();
                match &change {
                    Change::Service { out } => page.out_of_service = *out,
                    Change::Endpoint { id, .. } if !state.listed.contains(id) && !page.out.contains(id) => {
                        return Err(ChangeError::UnknownEndpoint);
                    }
                    Change::Endpoint { id, out: true } => _ = page.out.insert(id.clone()),
                    Change::Endpoint { id, out: false } => _ = page.out.remove(id),
                }
                if page == state.page {
                    return Ok(());
                }
                page
            };
            let (folder, new_page, durability) = (Folder::at(&this.folder), page.clone(), this.durability);
            let record = move || page::replace(&folder, durability, (NAME, new_page), MAX_FILE);
            let written = tokio::task::spawn_blocking(record).await;
            if !matches!(written, Ok(Ok(()))) {
                return Err(ChangeError::NotPersisted);
            }
            let mut state = this.state();
            state.page = page;
            if let Role::Serves(changes) = &state.role {
                let _ = changes.send(change);
            }
            Ok(())
        };
        // Runs to completion even if the caller has given up: what is recorded must be put in force.
        tokio::spawn(task).await.unwrap_or(Err(ChangeError::NotPersisted))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::fs;

    fn folder(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("register-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        path
    }

    fn endpoint(out: bool) -> Change {
        Change::Endpoint { id: "s-1".to_owned(), out }
    }

    #[tokio::test]
    async fn changes_are_idempotent_and_survive_the_process() {
        let folder = folder("state");
        let register = Register::new(&folder, Durability::Process);
        assert_eq!(register.clone().set(endpoint(true)).await, Err(ChangeError::NotServing));
        let mut changed = register.serve();
        assert_eq!(register.clone().set(endpoint(true)).await, Err(ChangeError::UnknownEndpoint));
        register.set_listed(BTreeSet::from(["s-1".to_owned()]));
        for _ in 0..2 {
            assert_eq!(register.clone().set(endpoint(true)).await, Ok(()));
        }
        assert!(register.is_out("s-1"));
        assert_eq!((changed.try_recv(), changed.try_recv().is_err()), (Ok(endpoint(true)), true));
        // Off the list and in another process it is still offline, and one call brings it back.
        let register = Register::new(&folder, Durability::Process);
        register.load().expect("read");
        let _changed = register.serve();
        assert!(register.is_out("s-1") && !register.out_of_service());
        assert_eq!(register.clone().set(Change::Service { out: true }).await, Ok(()));
        assert_eq!(register.clone().set(endpoint(false)).await, Ok(()));
        assert!(!register.is_out("s-1") && register.out_of_service());
        assert_eq!(register.clone().set(endpoint(false)).await, Err(ChangeError::UnknownEndpoint));
        let _ = fs::remove_dir_all(folder);
    }

    #[tokio::test]
    async fn a_change_that_cannot_be_recorded_is_not_applied() {
        let folder = folder("gone");
        let register = Register::new(&folder, Durability::Process);
        let _changed = register.serve();
        fs::remove_dir_all(&folder).expect("removed");
        assert_eq!(register.clone().set(Change::Service { out: true }).await, Err(ChangeError::NotPersisted));
        assert!(!register.out_of_service());
    }

    #[test]
    fn a_corrupt_record_is_not_taken_for_none() {
        let folder = folder("corrupt");
        let load = |bytes: &[u8]| {
            fs::write(folder.join(NAME), bytes).expect("written");
            let register = Register::new(&folder, Durability::Process);
            register.load().map(|()| register.is_out("s-1"))
        };
        assert!(load(b"{\"out\":[\"s-").is_err());
        // Earlier versions wrote no checksum. A file that was altered after it was written fails its
        // checksum.
        assert!(load(br#"{"out":["s-1"],"out_of_service":false}"#).expect("read"));
        page::replace(&Folder::at(&folder), Durability::Power, (NAME, Page::default()), MAX_FILE)
            .expect("kept");
        let kept = fs::read_to_string(folder.join(NAME)).expect("read");
        assert!(!load(kept.as_bytes()).expect("read"));
        assert!(load(kept.replace("false", "true").as_bytes()).is_err());
        let _ = fs::remove_dir_all(folder);
    }
}
