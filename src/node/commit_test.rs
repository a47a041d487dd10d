//! Tests with commits that complete when the test says so: no action is performed before the commit it
//! depends on.

use super::*;
use crate::node::calls::Calls;
use crate::node::config::{Config, Limits};
use crate::node::discovery::{Health, Host, List};
use crate::node::input::Input;
use crate::node::intake::{Answer, IntakeState, Submission};
use crate::node::journal::{CommitResults, Journal, Message};
use crate::node::options::Options;
use crate::node::register::Register;
use crate::scheduler::Scheduler;
use crate::settings::PlatformConfig;
use crate::store::Durability;
use crate::store::segments::{Batch, Status};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Connect timeout. The tests hold commits open between an attempt and its call, on a machine that may stall
/// for longer than the usual timeout of one second; no test here is about this timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// Class of messages that must not run twice.
const PAYMENT: usize = 2;

struct Bench {
    folder: PathBuf,
    inputs: Sender<Input>,
    intake_state: Rc<IntakeState>,
    batches: Receiver<Batch>,
    done: CommitResults,
    /// The one endpoint of destination 7.
    endpoint: TcpListener,
    /// Receives notices.
    platform: TcpListener,
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Bench {
    async fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("commit-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let (journal, batches, done) = Journal::manual(&folder).expect("a journal");
        let endpoint = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let platform = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let at = |listener: &TcpListener| listener.local_addr().expect("an address");
        let page: PlatformConfig =
            serde_json::from_str(include_str!("../../tests/settings.json")).expect("settings");
        let mut settings = page.settings().expect("settings");
        settings.connect_timeout = CONNECT_TIMEOUT;
        let host = Host {
            host: "s-1".to_owned(),
            dial: at(&endpoint).to_string(),
            site: "a".to_owned(),
            class: "shops".to_owned(),
            block: 7,
            health: Health::Ready,
            share: 1.0,
        };
        let config = Config {
            name: "n1".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            file: PathBuf::new(),
            discovery: at(&platform),
            listener: None,
            admin: None,
            state: folder.clone(),
            seed: 5,
            limits: Limits { sockets: 64, disk_mb: 3.0, memory_mb: 100.0 },
            options: Options::default(),
            known: Some(List { seq: 1, whole: true, hosts: vec![host] }),
            settings,
            classes: page.class_names().map(str::to_owned).collect(),
            tenants: Vec::new(),
            zones: page.zone_names().to_vec(),
            kinds: page.kind_names().to_vec(),
        };
        let register = Register::new(&folder, Durability::Power);
        let calls = Calls::new(CONNECT_TIMEOUT, Duration::from_secs(5), 16, register.clone());
        let intake_state = Rc::new(IntakeState::new(register.clone()));
        let (inputs, mut inbox) = tokio::sync::mpsc::channel(64);
        let scheduler = Scheduler::new(config.settings.clone(), 5).expect("a module");
        let mut courier =
            Courier::new(config, scheduler, journal, 0, calls, intake_state.clone(), inputs.clone());
        courier.begin();
        let mut changes = register.serve();
        spawn_local(async move {
            courier.run(&mut inbox, &mut changes).await;
        });
        Bench { folder, inputs, intake_state, batches, done, endpoint, platform }
    }

    /// Submits a message; returns the receiver of the response.
    async fn submit(&self, id: &str, class: usize, left: Duration) -> oneshot::Receiver<Reply> {
        let submitted = Message {
            id: id.to_owned(),
            class: ["notice", "status", "payment"][class].to_owned(),
            destination: 7,
            until: unix() + left,
            ..Message::default()
        };
        let (reply, answer) = Answer::new();
        let (submitted, at) = (Rc::new(submitted), Instant::now());
        let submission = Submission { submitted, class, tenant: 0, time_left: left, at, reply };
        self.inputs.send(Input::Submitted(submission)).await.expect("the courier runs");
        answer
    }

    /// Waits until the next commit is started.
    async fn batch(&self) {
        while self.batches.try_recv().is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Completes the commit in progress.
    fn end(&self, result: io::Result<()>) {
        self.done.send((result, Status::default())).expect("the courier runs");
    }
}

/// Lets all tasks run. Anything that must not happen would have happened long before this returns.
async fn pass() {
    for _ in 0..50 {
        yield_now().await;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn connects(listener: &TcpListener) -> bool {
    tokio::time::timeout(Duration::from_millis(1), listener.accept()).await.is_ok()
}

#[tokio::test]
async fn neither_the_202_nor_the_first_byte_comes_before_its_commit() {
    let test = async {
        let bench = Bench::new("order").await;
        // A message that must not run twice is waited for until its deadline. One that may be repeated would
        // be sent again if the process stalls for longer than an attempt, and no one here completes that
        // commit.
        let mut answer = bench.submit("m1", PAYMENT, Duration::from_secs(20)).await;
        bench.batch().await;
        pass().await;
        assert!(answer.try_recv().is_err(), "not told before it is kept");
        // The same message, submitted again meanwhile: a 202 would promise what is not durable yet.
        let mut again = bench.submit("m1", PAYMENT, Duration::from_secs(20)).await;
        pass().await;
        assert!(again.try_recv().is_err(), "nor is the other, nor refused: it would be handed in anew");
        bench.end(Ok(()));
        assert_eq!((answer.await, again.await), (Ok(Reply::Taken), Ok(Reply::Taken)));
        // The attempt has a commit of its own.
        bench.batch().await;
        pass().await;
        assert!(!connects(&bench.endpoint).await, "not called before the attempt is kept");
        bench.end(Ok(()));
        bench.endpoint.accept().await.expect("called");
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn what_comes_while_a_commit_is_under_way_goes_with_the_next_one() {
    let test = async {
        let bench = Bench::new("group").await;
        let first = bench.submit("m0", 1, Duration::from_secs(20)).await;
        bench.batch().await;
        let mut others = Vec::new();
        for n in 1..=20 {
            others.push(bench.submit(&format!("m{n}"), 1, Duration::from_secs(20)).await);
        }
        pass().await;
        assert!(bench.batches.try_recv().is_err(), "one commit at a time");
        bench.end(Ok(()));
        assert_eq!(first.await, Ok(Reply::Taken));
        bench.batch().await;
        bench.end(Ok(()));
        for answer in others {
            assert_eq!(answer.await, Ok(Reply::Taken), "one commit carries them all");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_commit_that_fails_takes_back_what_was_due_and_stops_the_taking() {
    let test = async {
        let bench = Bench::new("fails").await;
        let answer = bench.submit("m1", 1, Duration::from_secs(20)).await;
        bench.batch().await;
        bench.end(Err(io::ErrorKind::StorageFull.into()));
        assert_eq!(answer.await, Ok(Reply::Unavailable));
        assert!(!bench.intake_state.ready.get(), "ready says no");
        let refused = bench.submit("m2", 1, Duration::from_secs(20)).await;
        assert_eq!(refused.await, Ok(Reply::Unavailable));
        // The commit is retried without a new event, and messages are accepted again once it succeeds.
        bench.batch().await;
        bench.end(Ok(()));
        while !bench.intake_state.ready.get() {
            yield_now().await;
        }
        let taken = bench.submit("m3", 1, Duration::from_secs(20)).await;
        bench.batch().await;
        bench.end(Ok(()));
        assert_eq!(taken.await, Ok(Reply::Taken));
    };
    LocalSet::new().run_until(test).await;
}

/// The disk stays full: a notice needs no record once its message's deadline has passed.
#[tokio::test]
async fn a_notice_waits_for_its_record_but_not_beyond_the_time_of_its_message() {
    let test = async {
        let bench = Bench::new("notice").await;
        drop(bench.platform.accept().await.expect("the watch"));
        let left = Duration::from_millis(400);
        // The message's deadline is not before this.
        let until = unix() + left;
        let answer = bench.submit("m1", 2, left).await;
        bench.batch().await;
        bench.end(Ok(()));
        assert_eq!(answer.await, Ok(Reply::Taken));
        // Its attempt cannot be recorded, so it is never made; nor can its verdict.
        let fail = async {
            loop {
                bench.batch().await;
                bench.end(Err(io::ErrorKind::StorageFull.into()));
            }
        };
        let told = async {
            use tokio::io::AsyncReadExt;
            loop {
                let (mut stream, _) = bench.platform.accept().await.expect("a call");
                let mut head = [0; 18];
                if stream.read_exact(&mut head).await.is_ok() && head.starts_with(b"POST /v1/outcomes") {
                    return unix();
                }
            }
        };
        let told = tokio::select! {
            told = told => told,
            () = fail => unreachable!("it goes on for ever"),
            () = tokio::time::sleep(Duration::from_secs(5)) => panic!("the notice waits for the disk"),
        };
        assert!(told >= until, "not before its record or its time: {told:?}, {until:?}");
    };
    LocalSet::new().run_until(test).await;
}
