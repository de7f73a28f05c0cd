//! Exchanges state with the daemons that the [`topology`](crate::gateway::topology) names, at short
//! intervals, and at once when something urgent is to be told.

// `tarpc::service` generates undocumented items.
#![allow(missing_docs)]

mod compose;
pub mod connection;
pub mod fetch;
pub mod origin;
pub mod permit;
pub mod quota;
mod take;
pub mod wire;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use metrics::{counter, gauge};
use tarpc::{
    client, context as call,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, sync::Notify, time};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;

pub use self::{compose::compose, take::take};
use self::{
    fetch::{Part, Wanted},
    origin::Lookup,
    wire::{Codec, FIRST_PROTOCOL, PROTOCOL},
};
use crate::{
    collections::Map,
    fleet::transport::{self, Transport},
    gateway::{
        context::Context,
        member::Member,
        message::{Link, Message},
        origin::Entry,
        permit::{Ask, Verdict},
        quota as issuing,
        topology::{self, Candidate, FULL_MESH_DAEMONS, Plan},
    },
    kernel::id::Build,
};

/// Interval between messages of two daemons in a full mesh.
const MESH_INTERVAL: Duration = Duration::from_millis(100);

/// The same for two hubs, if there are no more hubs than a full mesh has daemons; with more, it
/// grows in proportion, so that the messages of a hub stay the same.
const HUB_INTERVAL: Duration = Duration::from_millis(180);

/// Interval between messages of a spoke to its hub.
const SPOKE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two messages to a peer, however urgent.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which the plan is computed anew.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a daemon that doesn't answer is tried, one after the other, so that parts of
/// the fleet that were cut off from each other meet again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Silence after which a hub calls another one that should have called it.
const CALLER_SILENCE: Duration = Duration::from_millis(400);

/// Timeout of one exchange.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// HTTP path of the streams that carry these RPCs.
const STREAM_PATH: &str = "/exchange";

/// RPCs from one daemon to another.
#[tarpc::service]
pub trait Exchange {
    /// Takes the caller's state and returns that of this daemon.
    async fn exchange(message: Message) -> Message;

    /// Decides whether the caller may send a request to an upstream that named a limit.
    async fn permit(ask: Ask) -> Verdict;

    /// Decides whether the caller may send a request of a workspace with a quota.
    async fn quota(ask: issuing::Ask) -> issuing::Verdict;

    /// Takes back what was granted to the caller for a request that did not run.
    async fn return_quota(grant: issuing::Grant);

    /// Keeps which build began a stream of the caller.
    async fn keep_origin(entry: Entry);

    /// Tells which build began a stream, if this daemon knows it.
    async fn find_origin(attempt: u64) -> Option<Build>;

    /// Returns a part of the rows that the caller lacks; `None` if this daemon doesn't have them.
    async fn fetch_rows(wanted: Wanted) -> Option<Part>;

    /// Tells which build began a stream, if this daemon knows it, and which process answers.
    async fn look_up_origin(attempt: u64) -> Lookup;
}

#[derive(Clone)]
struct Server(Arc<Context>);

impl Exchange for Server {
    async fn exchange(self, _: call::Context, message: Message) -> Message {
        let (from, link) = (message.from.clone(), message.link);
        take(&self.0, &message);
        compose(&self.0, &from, link.reversed())
    }

    async fn permit(self, _: call::Context, ask: Ask) -> Verdict {
        crate::gateway::permit::decide(&self.0, &ask)
    }

    async fn quota(self, _: call::Context, ask: issuing::Ask) -> issuing::Verdict {
        issuing::decide(&self.0, &ask)
    }

    async fn return_quota(self, _: call::Context, grant: issuing::Grant) {
        issuing::take_back(&self.0, &grant);
    }

    async fn keep_origin(self, _: call::Context, entry: Entry) {
        origin::keep_for_other(&self.0, &entry);
    }

    async fn find_origin(self, _: call::Context, attempt: u64) -> Option<Build> {
        self.0.origins().known(attempt, self.0.now())
    }

    async fn fetch_rows(self, _: call::Context, wanted: Wanted) -> Option<Part> {
        fetch::part(&self.0, &wanted)
    }

    async fn look_up_origin(self, _: call::Context, attempt: u64) -> Lookup {
        let build = self.0.origins().known(attempt, self.0.now());
        Lookup { incarnation: self.0.incarnation, build }
    }
}

/// Opens a connection to another daemon.
async fn connect(address: SocketAddr) -> crate::Result<ExchangeClient> {
    let transport = transport::connect::<_, _, Codec>(address, STREAM_PATH).await?;
    Ok(ExchangeClient::new(client::Config::default(), transport).spawn())
}

/// Serves other daemons until `stop`.
pub async fn serve(context: Arc<Context>, listener: TcpListener, stop: CancellationToken) {
    let handle = move |transport: Transport<_, _, Codec>| {
        let channel = BaseChannel::with_defaults(transport);
        channel.execute(Server(context.clone()).serve()).for_each(|call| call)
    };
    transport::serve(listener, handle, stop).await;
}

/// Calls other daemons until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let callers = Callers { context, running: Map::default(), tasks: TaskTracker::new() };
    tokio::select! {
        () = stop.cancelled() => {}
        () = callers.run(&stop) => {}
    }
}

/// Computes the part of this daemon in the exchange anew.
pub fn update_plan(context: &Context) {
    let now = context.now();
    let members = context.members.all();
    let present = members.iter().filter(|(_, it)| !it.leaving);
    let candidates: Vec<_> = present
        .map(|(name, it)| Candidate {
            name,
            zone: &it.zone,
            cpu_millis: it.cpu_millis,
            responsive: context.peers.is_responsive(name, now),
        })
        .collect();
    let plan = topology::plan(context.settings.daemon.as_str(), &candidates);
    gauge!("tealturn_exchange_daemons").set(plan.daemons as f64);
    count_protocols(&members);
    if let Some(age) = context.freshness.age(now) {
        gauge!("tealturn_confirmation_age_seconds").set(age.as_secs_f64());
    }
    let previous = context.plan.load();
    if (previous.is_hub, previous.is_watcher) != (plan.is_hub, plan.is_watcher) {
        let (hub, watcher, daemons) = (plan.is_hub, plan.is_watcher, plan.daemons);
        info!(hub, watcher, daemons, "part in the exchange changed");
    }
    issuing::refresh(context, &plan, &previous);
    if **previous != plan {
        context.plan.store(Arc::new(plan));
    }
}

/// Tells operators how far an upgrade is along.
fn count_protocols(members: &[(String, Member)]) {
    for protocol in FIRST_PROTOCOL..=PROTOCOL {
        let count = members.iter().filter(|(_, it)| it.protocol == protocol && !it.leaving).count();
        gauge!("tealturn_daemons", "protocol" => protocol.to_string()).set(count as f64);
    }
    let newer = members.iter().filter(|(_, it)| it.protocol > PROTOCOL && !it.leaving).count();
    gauge!("tealturn_daemons", "protocol" => "newer").set(newer as f64);
}

/// The peers that this daemon should call: name, address, and what it is to them. `is_running`
/// tells which fellow hubs it calls already.
pub fn peers_to_call(
    context: &Context,
    is_running: &dyn Fn(&str) -> bool,
) -> Vec<(String, SocketAddr, Link)> {
    let (now, plan) = (context.now(), context.plan.load());
    let own = context.settings.daemon.as_str();
    let address = |name: &str| context.members.peer_address(name);
    if !plan.is_hub {
        let hub = plan.hubs.first();
        context.peers.set_hub(hub.map(String::as_str));
        let hub = hub.and_then(|it| Some((it.clone(), address(it)?, Link::Spoke)));
        return hub.into_iter().collect();
    }
    context.peers.set_hub(None);
    let mut wanted = Vec::new();
    for hub in &plan.hubs {
        let is_silent =
            context.peers.heard_from(hub).is_none_or(|it| now.since(it) >= CALLER_SILENCE);
        if !is_running(hub) && !is_silent && !topology::is_caller(own, hub) {
            continue;
        }
        if let Some(address) = address(hub) {
            wanted.push((hub.clone(), address, Link::Peer));
        }
    }
    wanted
}

/// A random one of the daemons that seem to be gone, which a hub tries besides the peers that it calls;
/// so does a spoke that knows no hub.
pub fn unresponsive(context: &Context) -> Option<(String, SocketAddr)> {
    let (now, plan) = (context.now(), context.plan.load());
    if !plan.is_hub && !plan.hubs.is_empty() {
        return None;
    }
    let own = context.settings.daemon.as_str();
    let members = context.members.all();
    let is_gone = |name: &str| name != own && !context.peers.is_responsive(name, now);
    let gone: Vec<_> = members.iter().filter(|(name, it)| !it.leaving && is_gone(name)).collect();
    if gone.is_empty() {
        return None;
    }
    let (name, member) = gone[rand::random_range(0..gone.len())];
    Some((name.clone(), member.peer))
}

/// Interval between messages to a peer to which this daemon is `link`.
pub fn interval(plan: &Plan, link: Link) -> Duration {
    match link {
        Link::Spoke | Link::Hub => SPOKE_INTERVAL,
        Link::Peer if plan.daemons <= FULL_MESH_DAEMONS => MESH_INTERVAL,
        Link::Peer => {
            let growth = (plan.hubs.len() + 1) as f64 / FULL_MESH_DAEMONS as f64;
            HUB_INTERVAL.mul_f64(growth.max(1.0))
        }
    }
}

struct Callers {
    context: Arc<Context>,
    running: Map<String, Caller>,
    tasks: TaskTracker,
}

/// A running [`Session`] with a peer.
struct Caller {
    address: SocketAddr,
    link: Link,
    cancel: CancellationToken,
    wake: Arc<Notify>,
}

impl Callers {
    async fn run(mut self, stop: &CancellationToken) {
        let mut retried_at = self.context.now();
        loop {
            update_plan(&self.context);
            self.update(stop);
            let now = self.context.now();
            if now.since(retried_at) >= RETRY_INTERVAL {
                retried_at = now;
                self.retry_unresponsive();
            }
            tokio::select! {
                () = time::sleep(PLAN_INTERVAL) => {}
                () = self.context.urgent.notified() => {
                    for caller in self.running.values() {
                        caller.wake.notify_one();
                    }
                }
            }
        }
    }

    /// Starts and ends callers as the plan says.
    fn update(&mut self, stop: &CancellationToken) {
        let is_running =
            |name: &str| self.running.get(name).is_some_and(|it| it.link == Link::Peer);
        let wanted = peers_to_call(&self.context, &is_running);
        self.running.retain(|name, caller| {
            let is_kept = wanted.iter().any(|(it, address, link)| {
                (it, *address, *link) == (name, caller.address, caller.link)
            });
            if !is_kept {
                caller.cancel.cancel();
            }
            is_kept
        });
        for (name, address, link) in wanted {
            if self.running.contains_key(&name) {
                continue;
            }
            let (cancel, wake) = (stop.child_token(), Arc::new(Notify::new()));
            let session = Session {
                context: self.context.clone(),
                name: name.clone(),
                address,
                link,
                wake: wake.clone(),
            };
            self.running.insert(name, Caller { address, link, cancel: cancel.clone(), wake });
            self.tasks.spawn(async move {
                tokio::select! {
                    () = cancel.cancelled() => {}
                    () = session.run() => {}
                }
            });
        }
    }

    /// Tries one of the daemons that seem to be gone.
    fn retry_unresponsive(&self) {
        let Some((name, address)) = unresponsive(&self.context) else {
            return;
        };
        let session = Session {
            context: self.context.clone(),
            name,
            address,
            link: Link::Peer,
            wake: Arc::default(),
        };
        self.tasks.spawn(async move {
            let _ = time::timeout(RESPONSE_TIMEOUT, session.exchange(&mut None)).await;
        });
    }
}

/// Sends messages to one peer.
struct Session {
    context: Arc<Context>,
    name: String,
    address: SocketAddr,
    /// What this daemon is to the peer.
    link: Link,
    /// Wakes the caller before the interval has passed.
    wake: Arc<Notify>,
}

impl Session {
    async fn run(self) {
        let mut connection: Option<ExchangeClient> = None;
        let mut was_reachable = true;
        loop {
            let result = time::timeout(RESPONSE_TIMEOUT, self.exchange(&mut connection)).await;
            let is_reachable = result.is_ok_and(|it| it);
            let outcome = if is_reachable { "answered" } else { "failed" };
            counter!("tealturn_exchange_calls_total", "outcome" => outcome).increment(1);
            if !is_reachable {
                let stage = if connection.is_some() { "answer" } else { "connect" };
                counter!("tealturn_exchange_failures_total", "stage" => stage).increment(1);
                connection = None;
                self.context.peers.record_failure(&self.name, self.context.now());
                if self.link == Link::Spoke {
                    // Lets the daemon choose another hub.
                    self.context.urgent.notify_one();
                }
            }
            if is_reachable != was_reachable {
                let (peer, answers) = (self.name.as_str(), is_reachable);
                info!(peer, answers, "peer started or stopped responding");
                was_reachable = is_reachable;
            }
            // Jitter keeps the daemons' messages from synchronizing.
            let interval = interval(&self.context.plan.load(), self.link);
            let interval = interval.mul_f64(0.75 + rand::random::<f64>() / 2.0);
            time::sleep(MIN_INTERVAL).await;
            tokio::select! {
                () = time::sleep(interval.saturating_sub(MIN_INTERVAL)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends one message and takes the response; returns whether there was one.
    async fn exchange(&self, connection: &mut Option<ExchangeClient>) -> bool {
        let client = match connection {
            Some(client) => client,
            None => {
                let Ok(client) = connect(self.address).await else { return false };
                connection.insert(client)
            }
        };
        let message = compose(&self.context, &self.name, self.link);
        let Ok(response) = client.exchange(call::current(), message).await else {
            return false;
        };
        if response.from != self.name {
            // Another daemon has the address now.
            return false;
        }
        take(&self.context, &response);
        true
    }
}
