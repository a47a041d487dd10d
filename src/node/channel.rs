//! What the process that serves and its successor say to each other: words in frames over a local socket,
//! each perhaps with an open descriptor.

use super::register::{Change, ChangeError};
use crate::interface::{EndpointId, Outcome, Report};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// No frame is longer: guards memory against a peer that is none.
const FRAME_MOST: usize = 16 * 1024 * 1024;
const HEAD: usize = 4;
const PIECE: usize = 64 * 1024;

/// An endpoint as the old process has it.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointState {
    pub id: EndpointId,
    pub host: String,
    pub dial: Option<String>,
    pub zone: String,
    pub ready: bool,
    pub listed: bool,
}

/// A call that is out, and for how long it has been.
#[derive(Debug, Serialize, Deserialize)]
pub struct InFlightCall {
    pub message: u64,
    pub endpoint: EndpointId,
    pub attempt: u32,
    pub age: Duration,
}

/// All that the journal does not tell.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// The module, packed by itself: another version may not be able to read it.
    #[serde(rename = "brain")]
    pub scheduler: Vec<u8>,
    /// What its clock shows, and the Unix time of that moment.
    pub clock: Duration,
    #[serde(rename = "at")]
    pub unix_time: Duration,
    pub endpoints: Vec<EndpointState>,
    #[serde(rename = "numbered")]
    pub endpoint_ids_assigned: u32,
    pub destinations: Vec<u64>,
    /// The version of the list, where it is one of discovery's.
    #[serde(rename = "list")]
    pub list_version: Option<u64>,
    #[serde(rename = "out")]
    pub in_flight: Vec<InFlightCall>,
    /// The last number that a message has had.
    #[serde(rename = "last")]
    pub last_message: u64,
}

/// The end of a call that the old process had out.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndedCall {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub over: bool,
    pub report: Option<(f64, f64)>,
    /// How long ago it came.
    pub age: Duration,
}

impl EndedCall {
    pub fn report(&self) -> Option<Report> {
        self.report.map(|(left, limit)| Report { left, limit })
    }
}

/// A client's connection that comes with the word.
#[derive(Debug, Serialize, Deserialize)]
pub struct ClientConnection {
    /// What has come of a request that is not judged.
    #[serde(rename = "heard")]
    pub received: Vec<u8>,
    /// For how long it has stood where it stands.
    pub age: Duration,
    /// It has had an answer before.
    pub served: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// From the successor, first of all.
    Hello,
    State(Box<HandoverState>),
    /// The successor has what it needs. Without `whole` it starts from the journal.
    Ready {
        #[serde(rename = "whole")]
        state_loaded: bool,
    },
    /// The lock is free: from here on the successor is the courier.
    #[serde(rename = "Go")]
    LockReleased,
    Client(ClientConnection),
    Ended(EndedCall),
    /// To the old process: a call that is to be called off.
    Cancel(u64),
    /// An operators' call that reached the old process, and its answer.
    #[serde(rename = "Operate")]
    OperatorChange(u64, Change),
    #[serde(rename = "Operated")]
    OperatorChangeResult(u64, Result<(), ChangeError>),
}

/// The end that speaks; several tasks may.
#[derive(Clone)]
pub struct HandoverSender {
    stream: Rc<UnixStream>,
    turn: Rc<tokio::sync::Mutex<()>>,
}

/// The end that listens.
pub struct HandoverReceiver {
    stream: Rc<UnixStream>,
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

pub fn split(stream: UnixStream) -> (HandoverSender, HandoverReceiver) {
    let stream = Rc::new(stream);
    let sender = HandoverSender { stream: stream.clone(), turn: Rc::default() };
    (sender, HandoverReceiver { stream, bytes: Vec::new(), descriptors: VecDeque::new() })
}

fn bad(why: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

impl HandoverSender {
    pub async fn send(&self, word: &HandoverMessage, with: Option<OwnedFd>) -> io::Result<()> {
        // Whether a descriptor comes stands in the frame, so that each finds its word.
        let mut bytes = vec![0; HEAD];
        ciborium::into_writer(&(word, with.is_some()), &mut bytes).map_err(bad)?;
        let length = u32::try_from(bytes.len() - HEAD).map_err(bad)?;
        bytes[..HEAD].copy_from_slice(&length.to_le_bytes());
        let _turn = self.turn.lock().await;
        let mut sent = 0;
        while sent < bytes.len() {
            let with = with.as_ref().filter(|_| sent == 0).map(AsFd::as_fd);
            sent += self
                .stream
                .async_io(Interest::WRITABLE, || write(&self.stream, &bytes[sent..], with))
                .await?;
        }
        Ok(())
    }
}

fn write(stream: &UnixStream, bytes: &[u8], with: Option<BorrowedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let with: Vec<_> = with.into_iter().collect();
    if !with.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&with));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?)
}

impl HandoverReceiver {
    /// The next word and its descriptor. An error is also the end of the other process.
    pub async fn receive(&mut self) -> io::Result<(HandoverMessage, Option<OwnedFd>)> {
        loop {
            if let Some(frame) = self.frame()? {
                let (word, with): (HandoverMessage, bool) = ciborium::from_reader(&frame[..]).map_err(bad)?;
                let descriptor = if with { self.descriptors.pop_front() } else { None };
                if with && descriptor.is_none() {
                    return Err(bad("a descriptor is missing"));
                }
                return Ok((word, descriptor));
            }
            let mut piece = [0; PIECE];
            let stream = self.stream.clone();
            let n = stream.async_io(Interest::READABLE, || self.read(&mut piece)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&piece[..n]);
        }
    }

    fn frame(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(length) = self.bytes.first_chunk::<HEAD>() else { return Ok(None) };
        let end = HEAD + u32::from_le_bytes(*length) as usize;
        if end > FRAME_MOST {
            return Err(bad("a frame is too long"));
        }
        if self.bytes.len() < end {
            return Ok(None);
        }
        let rest = self.bytes.split_off(end);
        let frame = std::mem::replace(&mut self.bytes, rest);
        Ok(Some(frame[HEAD..].to_vec()))
    }

    fn read(&mut self, piece: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut pieces = [IoSliceMut::new(piece)];
        let got = recvmsg(&*self.stream, &mut pieces, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        Ok(got.bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    #[tokio::test]
    async fn words_of_any_size_come_whole_and_descriptors_with_their_own() {
        let (here, there) = UnixStream::pair().expect("a pair");
        let ((sender, _open), (_quiet, mut receiver)) = (split(here), split(there));
        let (client, mut far) = std::os::unix::net::UnixStream::pair().expect("a client");
        let received: Vec<u8> = (0..300_000).map(|n| n as u8).collect();
        let say = async {
            let client_of = |received| {
                HandoverMessage::Client(ClientConnection { received, age: Duration::ZERO, served: true })
            };
            sender.send(&HandoverMessage::Cancel(7), None).await.expect("said");
            sender.send(&client_of(received.clone()), Some(client.into())).await.expect("said");
            sender.send(&HandoverMessage::LockReleased, None).await.expect("said");
        };
        let hear = async {
            assert!(matches!(receiver.receive().await.expect("a word"), (HandoverMessage::Cancel(7), None)));
            let (HandoverMessage::Client(got), Some(fd)) = receiver.receive().await.expect("a word") else {
                panic!("a client")
            };
            assert!(got.received == received && got.served);
            assert!(matches!(
                receiver.receive().await.expect("a word"),
                (HandoverMessage::LockReleased, None)
            ));
            fd
        };
        let ((), fd) = tokio::join!(say, hear);
        std::os::unix::net::UnixStream::from(fd).write_all(b"x").expect("written");
        let mut byte = [0];
        far.read_exact(&mut byte).expect("it is the client's own connection");
        drop((sender, _open));
        assert!(receiver.receive().await.is_err(), "the end of the other process is received");
    }
}
