//! What operators have set: endpoints left out, and whether the courier is out of service. A state, kept in
//! the folder that lasts. Shared by the operators' thread, which changes it, and the courier, which heeds it.

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
/// The file is no longer. It stands beside its successor while it is written: the journal leaves room for both.
const FILE_MOST: usize = 4 * 1024;
pub const DISK_MOST: u64 = 4 * FILE_MOST as u64;

/// What a call changes.
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

/// Why nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// Nobody has an endpoint of this id.
    #[serde(rename = "Unknown")]
    UnknownEndpoint,
    /// Another process serves, or none yet.
    NotServing,
    /// The folder that lasts does not take it.
    #[serde(rename = "Unrecorded")]
    NotPersisted,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Page {
    out: BTreeSet<String>,
    #[serde(default)]
    out_of_service: bool,
}

/// A change for the process that serves now, and where its answer goes.
pub type Forward = (Change, oneshot::Sender<Result<(), ChangeError>>);

/// What this process is.
#[derive(Default)]
enum Role {
    /// It takes no clients yet, or no longer.
    #[default]
    Idle,
    Serves(UnboundedSender<Change>),
    /// Another has taken its place.
    Replaced(UnboundedSender<Forward>),
}

#[derive(Default)]
struct State {
    page: Page,
    /// The ids that the courier's list has.
    known: BTreeSet<String>,
    role: Role,
    /// It ends, though it still heeds what is set.
    ends: bool,
}

pub struct Register {
    folder: PathBuf,
    durability: Durability,
    state: Mutex<State>,
    /// One change at a time: each is on record before the next is looked at.
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

    /// Reads what was set before this process. A record that cannot be read must not pass for none: calls
    /// would go to endpoints that are taken apart.
    pub fn load(&self) -> io::Result<()> {
        let page: Option<Page> = page::read(&Folder::at(&self.folder), NAME)?;
        self.state().page = page.unwrap_or_default();
        Ok(())
    }

    pub fn serves(&self) -> bool {
        let state = self.state();
        matches!(state.role, Role::Serves(_)) && !state.ends
    }

    /// From here on this process serves; changes come from the receiver.
    pub fn serve(&self) -> UnboundedReceiver<Change> {
        let (changes, changed) = unbounded_channel();
        self.state().role = Role::Serves(changes);
        changed
    }

    /// This process takes no more clients, and ends.
    pub fn end(&self) {
        self.state().ends = true;
    }

    /// Another process serves from here on; what is asked of this one comes from the receiver.
    pub fn forward(&self) -> UnboundedReceiver<Forward> {
        let (forwards, forwarded) = unbounded_channel();
        self.state().role = Role::Replaced(forwards);
        forwarded
    }

    /// Lets nothing change until the guard is dropped.
    pub async fn hold(&self) -> OwnedMutexGuard<()> {
        self.turn.clone().lock_owned().await
    }

    pub fn out_of_service(&self) -> bool {
        self.state().page.out_of_service
    }

    pub fn is_out(&self, id: &str) -> bool {
        self.state().page.out.contains(id)
    }

    /// The ids on the courier's list, as it stands now.
    pub fn know(&self, ids: BTreeSet<String>) {
        self.state().known = ids;
    }

    /// Makes a change: on record, then in force, then told to the courier. One that changes nothing is
    /// fulfilled already.
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
                    Change::Endpoint { id, .. } if !state.known.contains(id) && !page.out.contains(id) => {
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
            let (folder, kept, durability) = (Folder::at(&this.folder), page.clone(), this.durability);
            let record = move || page::replace(&folder, durability, (NAME, kept), FILE_MOST);
            let kept = tokio::task::spawn_blocking(record).await;
            if !matches!(kept, Ok(Ok(()))) {
                return Err(ChangeError::NotPersisted);
            }
            let mut state = this.state();
            state.page = page;
            if let Role::Serves(changes) = &state.role {
                let _ = changes.send(change);
            }
            Ok(())
        };
        // Goes on though its caller has given up: what is on record must come into force.
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
    async fn what_is_set_is_a_state_and_outlasts_the_process() {
        let folder = folder("state");
        let register = Register::new(&folder, Durability::Process);
        assert_eq!(register.clone().set(endpoint(true)).await, Err(ChangeError::NotServing));
        let mut changed = register.serve();
        assert_eq!(register.clone().set(endpoint(true)).await, Err(ChangeError::UnknownEndpoint));
        register.know(BTreeSet::from(["s-1".to_owned()]));
        for _ in 0..2 {
            assert_eq!(register.clone().set(endpoint(true)).await, Ok(()));
        }
        assert!(register.is_out("s-1"));
        assert_eq!((changed.try_recv(), changed.try_recv().is_err()), (Ok(endpoint(true)), true));
        // Off the list, and in another process: it is still out, and one call brings it back.
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
    async fn what_cannot_be_recorded_does_not_come_into_force() {
        let folder = folder("gone");
        let register = Register::new(&folder, Durability::Process);
        let _changed = register.serve();
        fs::remove_dir_all(&folder).expect("removed");
        assert_eq!(register.clone().set(Change::Service { out: true }).await, Err(ChangeError::NotPersisted));
        assert!(!register.out_of_service());
    }

    #[test]
    fn a_spoilt_record_is_not_taken_for_none() {
        let folder = folder("spoilt");
        let load = |bytes: &[u8]| {
            fs::write(folder.join(NAME), bytes).expect("written");
            let register = Register::new(&folder, Durability::Process);
            register.load().map(|()| register.is_out("s-1"))
        };
        assert!(load(b"{\"out\":[\"s-").is_err());
        // The form of before has no check; one that says something else than what was written fails its own.
        assert!(load(br#"{"out":["s-1"],"out_of_service":false}"#).expect("read"));
        page::replace(&Folder::at(&folder), Durability::Power, (NAME, Page::default()), FILE_MOST)
            .expect("kept");
        let kept = fs::read_to_string(folder.join(NAME)).expect("read");
        assert!(!load(kept.as_bytes()).expect("read"));
        assert!(load(kept.replace("false", "true").as_bytes()).is_err());
        let _ = fs::remove_dir_all(folder);
    }
}
