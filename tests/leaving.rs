//! Planned stops: callers that keep their lists for as long as these may be kept never meet a
//! daemon that is gone, over seven rolling replacements.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use tealturn::{
    fleet::address::List,
    http::client::Client,
    kernel::context::Context,
    serve::Controller,
    standin::platform::{Platform, weights::Speed},
};
use tokio::{task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

/// Far longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

const DAEMONS: usize = 3;
const REPLACEMENTS: usize = 7;
const CALLERS: usize = 4;

struct Daemon {
    context: Arc<Context>,
    stop: CancellationToken,
    running: JoinHandle<()>,
}

impl Daemon {
    async fn start(number: usize, platform: SocketAddr, seeds: Vec<SocketAddr>) -> Daemon {
        let listen = "127.0.0.1:0";
        let settings = json!({
            "deployment": "test",
            "daemon": format!("daemon-{number}"),
            "zone": "sala-a",
            "listen": { "caller": listen, "peer": listen, "operator": listen },
            "platform": { "table": platform, "vms": platform },
            "seeds": seeds,
            "address_lifetime_s": 1,
        });
        let settings = serde_json::from_value(settings).expect("settings");
        let controller = Controller::bind(settings).await.expect("it binds");
        let stop = CancellationToken::new();
        Daemon {
            context: controller.context.clone(),
            running: tokio::spawn(controller.run(stop.clone())),
            stop,
        }
    }

    async fn wait(&self, what: &str, wanted: impl Fn(&Context) -> bool) {
        let waiting = async {
            while !wanted(&self.context) {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = time::timeout(PATIENCE, waiting).await;
        assert!(waited.is_ok(), "waited in vain: {what}");
    }
}

/// Keeps each list for its lifetime, and calls all of it again and again.
async fn call(first: SocketAddr, calls: Arc<AtomicU64>) {
    let client = Client::new();
    let mut next = first;
    loop {
        let asked = Instant::now();
        let list: List = client.get(next, "/v1/addresses").await.expect("a list");
        assert!(!list.addresses.is_empty(), "an empty list");
        while asked.elapsed() < list.lifetime {
            for entry in &list.addresses {
                let answer = client.get::<List>(entry.address, "/v1/addresses").await;
                let late = asked.elapsed() >= list.lifetime;
                assert!(answer.is_ok() || late, "{}: {answer:?}", entry.daemon);
                // An old connection is not what a new caller has.
                client.forget(entry.address);
                calls.fetch_add(1, Ordering::Relaxed);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        let place = calls.load(Ordering::Relaxed) as usize % list.addresses.len();
        next = list.addresses[place].address;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_replacements_cut_nobody() {
    let end = CancellationToken::new();
    let speed = Speed { load: Duration::ZERO, at_once: 2 };
    let platform = Platform::start(speed, Arc::default(), end.clone()).await;
    let platform = platform.expect("it starts");
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..DAEMONS {
        let seeds = daemons.iter().map(|it| it.context.bound_addrs.peer).collect();
        daemons.push(Daemon::start(number, platform.address(), seeds).await);
    }
    for daemon in &daemons {
        let all = |it: &Context| it.members.count() == DAEMONS && it.ready.load(Ordering::Acquire);
        daemon.wait("all know each other", all).await;
    }
    let calls = Arc::new(AtomicU64::new(0));
    let first = daemons[0].context.bound_addrs.caller;
    let callers: Vec<_> = (0..CALLERS).map(|_| tokio::spawn(call(first, calls.clone()))).collect();
    for number in 0..REPLACEMENTS {
        let seeds = daemons.iter().map(|it| it.context.bound_addrs.peer).collect();
        let new = Daemon::start(DAEMONS + number, platform.address(), seeds).await;
        new.wait("a new daemon is ready", |it| it.ready.load(Ordering::Acquire)).await;
        daemons.push(new);
        let name = daemons.last().map(|it| it.context.settings.daemon.clone());
        for daemon in &daemons[1..DAEMONS] {
            let known = |it: &Context| {
                let live = it.members.live();
                live.iter().any(|it| Some(&it.member.daemon) == name.as_ref())
            };
            daemon.wait("the others know it", known).await;
        }
        let old = daemons.remove(0);
        old.stop.cancel();
        let ended = time::timeout(PATIENCE, old.running).await;
        assert!(ended.is_ok(), "a stopped daemon did not end");
    }
    assert!(calls.load(Ordering::Relaxed) > 0);
    for caller in callers {
        // One that ended has failed.
        assert!(!caller.is_finished(), "a caller failed: {:?}", caller.await);
        caller.abort();
    }
    end.cancel();
}
