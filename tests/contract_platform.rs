//! The platform's protocols (`platform::table`, `platform::vm`, object and weight store),
//! against the stand-in or, without the cases that need a fault, against the platform at
//! `TEALTURN_PLATFORM` (`IP:PORT`).

use std::{
    env,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tealturn::{
    Error,
    http::{
        client::{self, Client},
        server::{self, Body, Handler},
    },
    platform::{
        client::Remote,
        table::{Check, Failure, Outcome, Row, Table, Transaction, Write},
        vm::{Entry, List, Role, State},
    },
    standin::{
        ledger::Ledger,
        platform::{Faults, Platform, weights::Speed},
    },
};
use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::{CancellationToken, DropGuard};

const PATIENCE: Duration = Duration::from_secs(20);

struct Bench {
    remote: Remote,
    client: Client,
    address: SocketAddr,
    /// Keeps the keys of one test apart from those of others.
    space: String,
    standin: Option<(Arc<Platform>, DropGuard)>,
}

impl Bench {
    async fn new() -> Bench {
        let stop = CancellationToken::new();
        let speed = Speed { load: Duration::from_millis(60), at_once: 2 };
        let platform = Platform::start(speed, Arc::new(Ledger::default()), stop.clone());
        let platform = platform.await.expect("the call works");
        let address = platform.address();
        Bench::at(address, Some((platform, stop.drop_guard())))
    }

    async fn foreign_or_new() -> Bench {
        match env::var("TEALTURN_PLATFORM") {
            Ok(address) => Bench::at(address.parse().expect("the call works"), None),
            Err(_) => Bench::new().await,
        }
    }

    fn at(address: SocketAddr, standin: Option<(Arc<Platform>, DropGuard)>) -> Bench {
        let since = UNIX_EPOCH.elapsed().expect("the call works");
        Bench {
            remote: Remote::new(Arc::new(Client::new()), address, address),
            client: Client::new(),
            address,
            space: format!("contract/{}/", since.as_nanos()),
            standin,
        }
    }

    fn platform(&self) -> &Arc<Platform> {
        &self.standin.as_ref().expect("the call works").0
    }

    fn key(&self, name: &str) -> String {
        format!("{}{name}", self.space)
    }

    fn put(&self, name: &str, value: &str) -> Write {
        Write::Put { key: self.key(name), value: value.to_owned() }
    }

    fn check(&self, name: &str, version: Option<u64>) -> Check {
        Check { key: self.key(name), version }
    }

    async fn row(&self, name: &str) -> Option<Row> {
        self.remote.get(&self.key(name)).await.expect("the call works")
    }

    async fn status(&self, method: &str, path: &str, body: &'static [u8]) -> u16 {
        let body = Bytes::from_static(body);
        let request = client::request(method, self.address, path, body).expect("the call works");
        match self.client.fetch(self.address, request).await {
            Ok(_) => 200,
            Err(Error::Status { status, .. }) => status,
            Err(error) => panic!("{error}"),
        }
    }
}

fn committed(outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Committed { version } => version,
        Outcome::Conflict { rows } => panic!("a conflict: {rows:?}"),
    }
}

#[tokio::test]
async fn transactions_apply_whole_or_not_at_all() {
    let bench = Bench::foreign_or_new().await;
    let first = Transaction {
        checks: vec![bench.check("a", None), bench.check("b", None)],
        writes: vec![bench.put("a", "1"), bench.put("b", "{\"x\": \"ü&=\"}")],
    };
    let version = committed(bench.remote.commit(&first).await.expect("the call works"));
    let row = bench.row("b").await.expect("the call works");
    assert_eq!((row.value.as_str(), row.version), ("{\"x\": \"ü&=\"}", version));
    assert_eq!(bench.row("a").await.expect("the call works").version, version);

    let refused = Transaction {
        checks: vec![bench.check("a", Some(version)), bench.check("b", None)],
        writes: vec![bench.put("a", "2"), bench.put("c", "2")],
    };
    let outcome = bench.remote.commit(&refused).await.expect("the call works");
    let rows = vec![bench.row("b").await.expect("the call works")];
    assert_eq!(outcome, Outcome::Conflict { rows });
    assert_eq!(bench.row("a").await.expect("the call works").value, "1");
    assert_eq!(bench.row("c").await, None);

    let second = Transaction {
        checks: vec![bench.check("a", Some(version))],
        writes: vec![bench.put("a", "3"), Write::Delete { key: bench.key("b") }],
    };
    let later = committed(bench.remote.commit(&second).await.expect("the call works"));
    assert!(later > version);
    assert_eq!(bench.row("b").await, None);
    let gone = Transaction { checks: vec![bench.check("b", Some(version))], writes: Vec::new() };
    let outcome = bench.remote.commit(&gone).await.expect("the call works");
    assert_eq!(outcome, Outcome::Conflict { rows: Vec::new() });
}

/// A service that knows none of the table's paths.
struct Foreign;

#[async_trait]
impl Handler for Foreign {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        server::answer(StatusCode::NOT_FOUND, "text/plain", "not found")
    }
}

#[tokio::test]
async fn a_service_that_is_no_table_is_not_taken_for_an_empty_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    tokio::spawn(server::serve(listener, Arc::new(Foreign), stop.clone()));
    let _stop = stop.drop_guard();
    let foreign = Remote::new(Arc::new(Client::new()), address, address);
    let row = foreign.get("catalog/head").await;
    assert!(row.is_err(), "{row:?}");
    let bench = Bench::foreign_or_new().await;
    assert_eq!(bench.row("none").await, None);
}

#[tokio::test]
async fn one_of_racing_transactions_wins() {
    let bench = Arc::new(Bench::foreign_or_new().await);
    let mut racing = JoinSet::new();
    for place in 0..20 {
        let bench = bench.clone();
        racing.spawn(async move {
            let transaction = Transaction {
                checks: vec![bench.check("a", None)],
                writes: vec![bench.put("a", &place.to_string())],
            };
            let outcome = bench.remote.commit(&transaction).await.expect("the call works");
            matches!(outcome, Outcome::Committed { .. })
        });
    }
    let won = racing.join_all().await;
    assert_eq!(won.iter().filter(|it| **it).count(), 1);
}

struct Scan {
    name: &'static str,
    prefix: &'static str,
    after: &'static str,
    limit: usize,
    found: &'static [&'static str],
}

#[tokio::test]
async fn scans() {
    let bench = Bench::foreign_or_new().await;
    let names = ["p/1", "p/2", "p/3", "q/1"];
    let transaction = Transaction {
        checks: Vec::new(),
        writes: names.iter().map(|it| bench.put(it, "0")).collect(),
    };
    committed(bench.remote.commit(&transaction).await.expect("the call works"));
    let scan = |name, prefix, after, limit, found| Scan { name, prefix, after, limit, found };
    let cases = [
        scan("a prefix", "p/", "", 10, &["p/1", "p/2", "p/3"]),
        scan("a limit", "p/", "", 2, &["p/1", "p/2"]),
        scan("the next page", "p/", "p/2", 2, &["p/3"]),
        scan("after a row that is not there", "p/", "p/11", 2, &["p/2", "p/3"]),
        scan("nothing", "r/", "", 10, &[]),
    ];
    for case in cases {
        let after = match case.after {
            "" => String::new(),
            after => bench.key(after),
        };
        let prefix = bench.key(case.prefix);
        let rows = bench.remote.scan(&prefix, &after, case.limit);
        let rows = rows.await.expect("the call works");
        let found: Vec<_> = rows.iter().map(|it| it.key.clone()).collect();
        let expected: Vec<_> = case.found.iter().map(|it| bench.key(it)).collect();
        assert_eq!(found, expected, "{}", case.name);
    }
}

enum Expected {
    Unavailable,
    Lost,
    Applied,
}

struct Fault {
    name: &'static str,
    faults: Faults,
    expected: Expected,
    /// Whether the write shows once the fault is over.
    applied: bool,
}

#[tokio::test]
async fn table_faults() {
    let cases = [
        Fault {
            name: "down",
            faults: Faults { table_down: true, ..Faults::default() },
            expected: Expected::Unavailable,
            applied: false,
        },
        Fault {
            name: "over the rate",
            faults: Faults { table_writes: 0, ..Faults::default() },
            expected: Expected::Unavailable,
            applied: false,
        },
        Fault {
            name: "the answer is lost",
            faults: Faults { table_lose_one_in: 1, ..Faults::default() },
            expected: Expected::Lost,
            applied: true,
        },
        Fault {
            name: "slow",
            faults: Faults { table_delay_ms: 300, ..Faults::default() },
            expected: Expected::Applied,
            applied: true,
        },
    ];
    for case in cases {
        let bench = Bench::new().await;
        bench.platform().set_faults(case.faults);
        let transaction = Transaction { checks: Vec::new(), writes: vec![bench.put("a", "1")] };
        let outcome = bench.remote.commit(&transaction).await;
        let right = match case.expected {
            Expected::Unavailable => matches!(outcome, Err(Failure::Unavailable(_))),
            Expected::Lost => matches!(outcome, Err(Failure::Lost(_))),
            Expected::Applied => outcome.is_ok(),
        };
        assert!(right, "{}: {outcome:?}", case.name);
        bench.platform().set_faults(Faults::default());
        let shows = bench.row("a").await.is_some();
        assert_eq!(shows, case.applied, "{}", case.name);
    }
}

fn entry(name: &str, state: State) -> Entry {
    Entry {
        name: name.to_owned(),
        address: "127.0.0.1:9".parse().expect("the call works"),
        zone: "sala-a".into(),
        role: Role::Kv,
        state,
    }
}

#[tokio::test]
async fn the_vm_list_lags_and_can_be_wrong() {
    let bench = Bench::new().await;
    let listed = || async { bench.remote.entries().await.expect("the call works") };
    let platform = bench.platform();
    platform.set_faults(Faults { vms_lag_ms: 600_000, ..Faults::default() });
    platform.list_at_once(entry("old", State::Live));
    platform.list("old", Some(entry("old", State::Leaving)));
    platform.list("new", Some(entry("new", State::Live)));
    // The change is younger than the lag, whatever this process does in between.
    assert_eq!(listed().await, [entry("old", State::Live)]);

    platform.set_faults(Faults {
        vms_lag_ms: 0,
        vms_hidden: vec!["new".to_owned()],
        vms_wrong: vec![entry("ghost", State::Live)],
        ..Faults::default()
    });
    let expected = [entry("old", State::Leaving), entry("ghost", State::Live)];
    assert_eq!(listed().await, expected);

    platform.set_faults(Faults { vms_lag_ms: 0, ..Faults::default() });
    platform.list("old", None);
    assert_eq!(listed().await, [entry("new", State::Live)]);
    platform.set_faults(Faults { vms_down: true, ..Faults::default() });
    assert!(bench.remote.entries().await.is_err());
}

#[tokio::test]
async fn objects_are_kept() {
    let bench = Bench::foreign_or_new().await;
    let path = "/objects/contract";
    assert_eq!(bench.status("PUT", path, b"text").await, 200);
    let request =
        client::request("GET", bench.address, path, Bytes::new()).expect("the call works");
    let object = bench.client.fetch(bench.address, request).await.expect("the call works");
    assert_eq!(object, "text");
    assert_eq!(bench.status("DELETE", path, b"").await, 200);
    assert_eq!(bench.status("GET", path, b"").await, 404);
    if bench.standin.is_some() {
        bench.platform().set_faults(Faults { stores_down: true, ..Faults::default() });
        assert_eq!(bench.status("PUT", path, b"text").await, 503);
        assert_eq!(bench.status("GET", "/weights/m/1", b"").await, 503);
    }
}

#[tokio::test(start_paused = true)]
async fn weights_load_slower_when_many_do() {
    use tealturn::standin::platform::weights::Loads;

    let speed = Speed { load: Duration::from_millis(800), at_once: 2 };
    for (count, factor) in [(1, 1), (2, 1), (4, 2), (6, 3)] {
        let loads = Arc::new(Loads::default());
        let started = time::Instant::now();
        let mut running = JoinSet::new();
        for _ in 0..count {
            let loads = loads.clone();
            running.spawn(async move { loads.read(&speed).await });
        }
        running.join_all().await;
        let took = started.elapsed();
        assert!(took >= speed.load * factor, "{count}: {took:?}");
        assert!(took < speed.load * factor * 11 / 10, "{count}: {took:?}");
        assert_eq!(loads.most(), count);
    }
}

#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let bench = Bench::new().await;
    assert_eq!(bench.row("a").await, None);
    bench.platform().set_faults(Faults { silence: true, ..Faults::default() });
    let kept = bench.remote.get("a").await;
    assert!(matches!(kept, Err(Failure::Lost(_))), "{kept:?}");
    let fresh = Bench::at(bench.address, None);
    let row = time::timeout(PATIENCE, fresh.row("a"));
    assert_eq!(row.await.expect("the call works"), None);
}
