//! Runs commits: inline in the caller or, where each commit waits for the disk, on a thread that owns the
//! segments. Then one commit is in progress at a time and records that arrive meanwhile go with the next
//! (group commit): one sync covers all of them.

use super::disk::Disk;
use super::segments::{Batch, Segments, Status};
use std::io;
use std::sync::mpsc;
use std::thread;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

pub type Done = (io::Result<()>, Status);

pub enum Writer<D: Disk> {
    Inline(Box<Segments<D>>),
    Threaded(WriterThread),
}

pub struct WriterThread {
    batches: mpsc::Sender<Batch>,
    done: UnboundedReceiver<Done>,
    busy: bool,
}

impl<D: Disk + Send + 'static> Writer<D>
where
    D::File: Send,
{
    /// Starts a thread that owns the segments.
    pub fn spawn(mut segments: Segments<D>) -> io::Result<Self> {
        let (batches, received) = mpsc::channel::<Batch>();
        let (results, done) = unbounded_channel();
        let write = move || {
            for mut batch in received {
                if results.send(segments.commit(&mut batch)).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("journal".to_owned()).spawn(write)?;
        Ok(Writer::Threaded(WriterThread { batches, done, busy: false }))
    }
}

#[cfg(test)]
impl<D: Disk> Writer<D> {
    /// A writer whose commits complete when the test says so.
    pub fn manual() -> (Self, mpsc::Receiver<Batch>, tokio::sync::mpsc::UnboundedSender<Done>) {
        let (batches, received) = mpsc::channel();
        let (results, done) = unbounded_channel();
        (Writer::Threaded(WriterThread { batches, done, busy: false }), received, results)
    }
}

impl<D: Disk> Writer<D> {
    /// Commits the batch, which is left empty. None means that the commit is in progress and `done` returns
    /// its result.
    pub fn commit(&mut self, batch: &mut Batch) -> Option<Done> {
        match self {
            Writer::Inline(segments) => Some(segments.commit(batch)),
            Writer::Threaded(thread) => {
                if thread.batches.send(std::mem::take(batch)).is_err() {
                    return Some((Err(thread_ended()), Status::default()));
                }
                thread.busy = true;
                None
            }
        }
    }

    /// Whether a commit is in progress.
    pub fn is_busy(&self) -> bool {
        matches!(self, Writer::Threaded(thread) if thread.busy)
    }

    /// Waits for the commit in progress; never returns if there is none.
    pub async fn done(&mut self) -> Done {
        match self {
            Writer::Threaded(thread) if thread.busy => {
                let done = thread.done.recv().await;
                thread.busy = false;
                done.unwrap_or_else(|| (Err(thread_ended()), Status::default()))
            }
            _ => std::future::pending().await,
        }
    }
}

fn thread_ended() -> io::Error {
    io::Error::other("the journal writer thread has ended")
}
