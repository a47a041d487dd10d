//! Handover protocol between the serving process and its successor: length-prefixed messages over a Unix
//! socket, each with at most one file descriptor.

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

/// Upper bound of a frame: limits memory if the peer is not a courier.
const MAX_FRAME: usize = 16 * 1024 * 1024;
const LENGTH_PREFIX: usize = 4;
const READ_SIZE: usize = 64 * 1024;

/// An endpoint as the old process knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct KnownEndpoint {
    pub id: EndpointId,
    pub host: String,
    pub dial: Option<String>,
    pub zone: String,
    pub ready: bool,
    pub listed: bool,
}

/// A call in flight, and how long ago it was started.
#[derive(Debug, Serialize, Deserialize)]
pub struct InFlightCall {
    pub message: u64,
    pub endpoint: EndpointId,
    pub attempt: u32,
    pub age: Duration,
}

/// All state that the journal does not hold.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// The scheduler, serialised separately: another version may not be able to read it.
    #[serde(rename = "brain")]
    pub scheduler: Vec<u8>,
    /// The scheduler's clock, and the Unix time at which it was read.
    pub clock: Duration,
    #[serde(rename = "at")]
    pub unix_time: Duration,
    pub endpoints: Vec<KnownEndpoint>,
    #[serde(rename = "numbered")]
    pub endpoint_ids_assigned: u32,
    pub destinations: Vec<u64>,
    /// Version of the endpoint list, if it came from discovery.
    #[serde(rename = "list")]
    pub list_version: Option<u64>,
    #[serde(rename = "out")]
    pub in_flight: Vec<InFlightCall>,
    /// The last message number that was assigned.
    #[serde(rename = "last")]
    pub last_message: u64,
}

/// The end of a call that the old process had in flight.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndedCall {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub over: bool,
    pub report: Option<(f64, f64)>,
    /// How long ago the call ended.
    pub age: Duration,
}

impl EndedCall {
    pub fn report(&self) -> Option<Report> {
        self.report.map(|(left, limit)| Report { left, limit })
    }
}

/// A client connection whose descriptor is passed with the message.
#[derive(Debug, Serialize, Deserialize)]
pub struct ClientConnection {
    /// Bytes received of a request that has not been accepted or refused yet.
    #[serde(rename = "heard")]
    pub received: Vec<u8>,
    /// How long the connection has been in its current state.
    pub age: Duration,
    /// Whether a response was sent on it before.
    pub served: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// First message, sent by the successor.
    Hello,
    State(Box<HandoverState>),
    /// The successor is ready. Without `state_loaded` it starts from the journal.
    Ready {
        #[serde(rename = "whole")]
        state_loaded: bool,
    },
    /// The old process has released the lock: from here on the successor is the courier.
    #[serde(rename = "Go")]
    LockReleased,
    Client(ClientConnection),
    Ended(EndedCall),
    /// To the old process: cancel the call of this message.
    Cancel(u64),
    /// An operator's change that reached the old process, and its result. Both carry the number of the
    /// request.
    #[serde(rename = "Operate")]
    OperatorChange(u64, Change),
    #[serde(rename = "Operated")]
    OperatorChangeResult(u64, Result<(), ChangeError>),
}

/// Sending end; several tasks may use it.
#[derive(Clone)]
pub struct HandoverSender {
    stream: Rc<UnixStream>,
    turn: Rc<tokio::sync::Mutex<()>>,
}

/// Receiving end.
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

fn invalid_data(why: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_string())
}

impl HandoverSender {
    pub async fn send(&self, message: &HandoverMessage, with: Option<OwnedFd>) -> io::Result<()> {
        // The frame tells whether a descriptor belongs to it, so that each descriptor is matched to its
        // message.
        let mut bytes = vec![0; LENGTH_PREFIX];
        ciborium::into_writer(&(message, with.is_some()), &mut bytes).map_err(invalid_data)?;
        let length = u32::try_from(bytes.len() - LENGTH_PREFIX).map_err(invalid_data)?;
        bytes[..LENGTH_PREFIX].copy_from_slice(&length.to_le_bytes());
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
    /// The next message and its descriptor. An error also means that the other process has ended.
    pub async fn receive(&mut self) -> io::Result<(HandoverMessage, Option<OwnedFd>)> {
        loop {
            if let Some(frame) = self.frame()? {
                let (message, with): (HandoverMessage, bool) =
                    ciborium::from_reader(&frame[..]).map_err(invalid_data)?;
                let descriptor = if with { self.descriptors.pop_front() } else { None };
                if with && descriptor.is_none() {
                    return Err(invalid_data("a message announces a file descriptor that did not arrive"));
                }
                return Ok((message, descriptor));
            }
            let mut chunk = [0; READ_SIZE];
            let stream = self.stream.clone();
            let n = stream.async_io(Interest::READABLE, || self.read(&mut chunk)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&chunk[..n]);
        }
    }

    fn frame(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
        let end = LENGTH_PREFIX + u32::from_le_bytes(*length) as usize;
        if end > MAX_FRAME {
            return Err(invalid_data(format!("frame of {end} bytes exceeds the limit of {MAX_FRAME}")));
        }
        if self.bytes.len() < end {
            return Ok(None);
        }
        let rest = self.bytes.split_off(end);
        let frame = std::mem::replace(&mut self.bytes, rest);
        Ok(Some(frame[LENGTH_PREFIX..].to_vec()))
    }

    fn read(&mut self, chunk: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut chunk = [IoSliceMut::new(chunk)];
        let got = recvmsg(&*self.stream, &mut chunk, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
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
    async fn messages_of_any_size_arrive_whole_and_descriptors_with_their_message() {
        let (here, there) = UnixStream::pair().expect("a pair");
        let ((sender, _open), (_quiet, mut receiver)) = (split(here), split(there));
        let (client, mut far) = std::os::unix::net::UnixStream::pair().expect("a client");
        let received: Vec<u8> = (0..300_000).map(|n| n as u8).collect();
        let send = async {
            let client_of = |received| {
                HandoverMessage::Client(ClientConnection { received, age: Duration::ZERO, served: true })
            };
            sender.send(&HandoverMessage::Cancel(7), None).await.expect("said");
            sender.send(&client_of(received.clone()), Some(client.into())).await.expect("said");
            sender.send(&HandoverMessage::LockReleased, None).await.expect("said");
        };
        let receive = async {
            assert!(matches!(
                receiver.receive().await.expect("a message"),
                (HandoverMessage::Cancel(7), None)
            ));
            let (HandoverMessage::Client(got), Some(fd)) = receiver.receive().await.expect("a message")
            else {
                panic!("a client")
            };
            assert!(got.received == received && got.served);
            assert!(matches!(
                receiver.receive().await.expect("a message"),
                (HandoverMessage::LockReleased, None)
            ));
            fd
        };
        let ((), fd) = tokio::join!(send, receive);
        std::os::unix::net::UnixStream::from(fd).write_all(b"x").expect("written");
        let mut byte = [0];
        far.read_exact(&mut byte).expect("it is the client's own connection");
        drop((sender, _open));
        assert!(receiver.receive().await.is_err(), "the end of the other process is received");
    }
}
