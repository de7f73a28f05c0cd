//! Daemons over real connections: the configuration and facts travel by peers alone, foreign
//! messages are refused, a silent connection is replaced.

#[path = "fake/node.rs"]
mod node;
#[path = "fake/table.rs"]
mod table;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use node::{Node, Spec, until};
use table::{Fault, Memory};
use tealturn::{
    catalog::{
        Credential,
        change::{Applied, Change, Edit, Id, Verdict},
        page,
    },
    fleet::{
        board::{Fact, Key, Value},
        message::{self, Envelope, Question},
        service, transport,
    },
    kernel::id::{Incarnation, Revision, Workspace},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

fn spec(name: &'static str, seeds: Vec<SocketAddr>, table: Arc<Memory>) -> Spec {
    Spec { name, deployment: "test", seeds, table }
}

fn change(id: u128, base: u64) -> Change {
    Change {
        id: Id(id),
        base: Revision(base),
        edits: vec![Edit::PutCredential(Credential {
            digest: format!("{id:064x}"),
            workspace: Workspace::from("notary"),
        })],
    }
}

async fn accept(node: &Node, change: Change) {
    let verdict = page::apply(&node.context, change).await;
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
}

fn in_force(node: &Node) -> Revision {
    node.context.catalog.load().revision()
}

#[tokio::test]
async fn configuration_and_facts_travel_without_the_table() {
    let (up, down) = (Arc::new(Memory::default()), Arc::new(Memory::default()));
    down.set(Fault::Down);
    let one = Node::start(spec("one", vec![], up), None).await;
    until("one is ready", || one.context.ready.load(Ordering::Acquire)).await;
    accept(&one, change(1, 0)).await;
    let seeds = vec![one.context.bound_addrs.peer];
    let two = Node::start(spec("two", seeds.clone(), down.clone()), None).await;
    let three = Node::start(spec("three", seeds, down), None).await;
    let all = [&one, &two, &three];
    for node in all {
        until("a new daemon serves by its peers", || in_force(node) == Revision(1)).await;
        until("all are known", || node.context.members.count() == 3).await;
    }
    accept(&one, change(2, 1)).await;
    for node in all {
        until("a change is in force", || in_force(node) == Revision(2)).await;
    }
    let fact = Fact {
        key: Key::Upstream("engine-1".into()),
        value: Value::Upstream { incarnation: Incarnation(7), leaving: true },
    };
    two.context.board.publish(&fact);
    for node in all {
        until("a fact is known", || node.context.board.get(&fact.key) == Some(fact.value)).await;
    }
    three.context.leaving.cancel();
    until("all know that it leaves", || three.context.members.left().is_cancelled()).await;
    for node in [&one, &two] {
        let live = node.context.members.live();
        let left = live.iter().find(|it| it.member.daemon.as_str() == "three");
        assert!(left.is_none_or(|it| it.member.leaving), "known when it says so");
    }
}

struct Foreign {
    name: &'static str,
    spoil: fn(&mut Envelope),
    /// How the refusal starts.
    error: &'static str,
}

const FOREIGN: &[Foreign] = &[
    Foreign { name: "own", spoil: |_| {}, error: "" },
    Foreign {
        name: "another deployment",
        spoil: |it| it.deployment = "other".into(),
        error: "this daemon belongs to deployment \"test\", the message to \"other\"",
    },
    Foreign {
        name: "another version",
        spoil: |it| it.protocol = 9,
        error: "this daemon speaks protocol 1, the message is in 9",
    },
    Foreign {
        name: "rubbish",
        spoil: |it| it.payload = vec![0xff; 100],
        error: "malformed payload",
    },
];

#[tokio::test]
async fn foreign_messages_are_refused() {
    let node = Node::start(spec("one", vec![], Arc::default()), None).await;
    until("it is ready", || node.context.ready.load(Ordering::Acquire)).await;
    let client = service::connect(node.context.bound_addrs.peer).await.expect("a connection");
    let question = Question { revision: None };
    for case in FOREIGN {
        let mut envelope = message::seal("test", &question);
        (case.spoil)(&mut envelope);
        let answer = client.update(tarpc::context::current(), envelope).await;
        let answer = answer.unwrap_or_else(|it| panic!("{}: {it}", case.name));
        let error = answer.err().map(|it| it.to_string()).unwrap_or_default();
        let expected = error.starts_with(case.error) && error.is_empty() == case.error.is_empty();
        assert!(expected, "{}: {error:?}", case.name);
    }
    // More than a frame may have: that connection ends, the daemon goes on.
    let huge = Envelope {
        payload: vec![0; transport::MAX_FRAME_BYTES + 1],
        ..message::seal("test", &question)
    };
    assert!(client.update(tarpc::context::current(), huge).await.is_err());
    let client = service::connect(node.context.bound_addrs.peer).await.expect("a connection");
    let envelope = message::seal("test", &question);
    let answer = client.update(tarpc::context::current(), envelope).await;
    assert!(matches!(answer, Ok(Ok(_))), "{answer:?}");
}

/// Relays connections; those opened before a freeze pass nothing on any more, and stay open.
struct Relay {
    epoch: AtomicU64,
    to: SocketAddr,
    passed: AtomicBool,
}

impl Relay {
    async fn run(self: Arc<Relay>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(self.to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(self.clone().pipe(near_read, far_write));
            tokio::spawn(self.clone().pipe(far_read, near_write));
        }
    }

    async fn pipe(
        self: Arc<Relay>,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
    ) {
        let epoch = self.epoch.load(Ordering::Acquire);
        let mut buffer = vec![0; 4_096];
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            if epoch != self.epoch.load(Ordering::Acquire) {
                continue;
            }
            self.passed.store(true, Ordering::Release);
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}

#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let up = Arc::new(Memory::default());
    let down = Arc::new(Memory::default());
    down.set(Fault::Down);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let door = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let relay = Arc::new(Relay {
        epoch: AtomicU64::new(0),
        to: listener.local_addr().expect("an address"),
        passed: AtomicBool::new(false),
    });
    let address = door.local_addr().expect("an address");
    tokio::spawn(relay.clone().run(door));
    let one = Node::start_on(spec("one", vec![], up), listener, address);
    let two = Node::start(spec("two", vec![address], down), None).await;
    until("two serves", || two.context.ready.load(Ordering::Acquire)).await;
    relay.epoch.fetch_add(1, Ordering::AcqRel);
    relay.passed.store(false, Ordering::Release);
    // The call for what is new goes from two to one, whose old connections are silent now.
    accept(&one, change(1, 0)).await;
    until("it is fetched on a new connection", || in_force(&two) == Revision(1)).await;
    assert!(relay.passed.load(Ordering::Acquire), "by the relay");
}

#[tokio::test]
async fn new_daemons_without_the_table_wait_for_it() {
    let table = Arc::new(Memory::default());
    table.set(Fault::Down);
    let one = Node::start(spec("one", vec![], table.clone()), None).await;
    let seeds = vec![one.context.bound_addrs.peer];
    let two = Node::start(spec("two", seeds, table.clone()), None).await;
    until("they know each other", || two.context.members.count() == 2).await;
    for node in [&one, &two] {
        assert!(!node.context.ready.load(Ordering::Acquire), "ready without a configuration");
        let verdict = page::apply(&node.context, change(1, 0)).await;
        let refused = matches!(&verdict, Verdict::Unavailable(it) if it.applied == Applied::No);
        assert!(refused, "{verdict:?}");
    }
    table.set(Fault::None);
    for node in [&one, &two] {
        until("ready when the table is back", || node.context.ready.load(Ordering::Acquire)).await;
    }
}
