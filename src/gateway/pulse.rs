//! RPCs between daemons, by which each daemon polls the state of every other at short intervals.

// `tarpc::service` generates undocumented items.
#![allow(missing_docs)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use tarpc::{
    client, context as call,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpListener, time};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;

use crate::{
    collections::Map,
    fleet::transport,
    gateway::{
        context::Context,
        dialect,
        follow::apply_document,
        peer::{Load, News, Request},
        store::Row,
    },
    kernel::clock::Time,
};

/// Interval between polls of each peer in a fleet of up to [`FULL_RATE_DAEMONS`] daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of registered daemons, this one included, up to which each peer is polled every
/// [`POLL_INTERVAL`]; with more, the interval grows in proportion up to [`MAX_POLL_INTERVAL`], so
/// that the rate of RPCs stays the same.
const FULL_RATE_DAEMONS: usize = 12;

/// Longest interval between polls of a peer, short enough that it isn't considered unresponsive
/// (see [`PEER_TIMEOUT`](crate::gateway::peer::PEER_TIMEOUT)).
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of one poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// Minimum decayed number of failures at an upstream for it to be reported to other daemons.
const MIN_REPORTED_FAILURES: f32 = 0.5;

/// HTTP path of the streams that carry these RPCs.
const STREAM_PATH: &str = "/pulse";

/// RPCs from one daemon to another.
#[tarpc::service]
pub trait Pulse {
    /// Returns the daemon's state.
    async fn news(request: Request) -> News;
    /// Returns the row that holds the daemon's active document: key, version and value.
    async fn document() -> Option<(String, u64, Vec<u8>)>;
}

#[derive(Clone)]
struct Server(Arc<Context>);

impl Pulse for Server {
    async fn news(self, _: call::Context, request: Request) -> News {
        news(&self.0, &request)
    }

    async fn document(self, _: call::Context) -> Option<(String, u64, Vec<u8>)> {
        let row = self.0.document_row.load_full()?;
        Some((row.key.clone(), row.version, row.value.clone()?))
    }
}

/// Builds this daemon's response to a peer.
fn news(context: &Context, request: &Request) -> News {
    let after = if request.incarnation == context.incarnation { request.after } else { 0 };
    let (last_update, cache_updates) = context.peers.cache_updates().after(after);
    let now = context.now();
    let progress = context.progress.load();
    let weights = progress.targets().map(|(model, target)| (model.clone(), target.version));
    let (mut engine_loads, mut dead) = (Vec::new(), Vec::new());
    let load = context.peers.peer_load();
    for endpoint in context.view.load().all() {
        let (health, engine) = (&endpoint.health, endpoint.hash);
        let (calls, outcomes) = (health.calls_in_flight(), health.recent_outcomes(now));
        // Upstreams without calls in flight are listed only while some daemon's calls fail there,
        // because the failure rate is computed from the outcomes at all daemons.
        let failing = outcomes.failures >= MIN_REPORTED_FAILURES
            || load.get(&engine).is_some_and(|it| it.outcomes.failures >= MIN_REPORTED_FAILURES);
        if calls > 0 || failing {
            let (tokens, memory) = (health.pending_prompt_tokens(), health.reserved_tokens());
            engine_loads.push(Load { engine, calls, tokens, memory, outcomes });
        }
        if health.is_dead() {
            dead.push((engine, endpoint.record.incarnation));
        }
    }
    News {
        incarnation: context.incarnation,
        ready: context.is_ready(),
        document: context.document.load().as_ref().map(|it| it.version),
        age_us: context.freshness.age(now).map(|it| it.as_micros() as u64),
        weights: weights.collect(),
        rollouts: context.rollout_reports.load().to_vec(),
        last_update,
        cache_updates,
        engine_loads,
        dead,
        suspects: context.suspects().facts(),
    }
}

/// Serves other daemons until `stop`.
pub async fn serve(context: Arc<Context>, listener: TcpListener, stop: CancellationToken) {
    let handle = move |transport| {
        let channel = BaseChannel::with_defaults(transport);
        channel.execute(Server(context.clone()).serve()).for_each(|call| call)
    };
    transport::serve(listener, handle, stop).await;
}

/// Polls the other daemons until `stop`, following changes of membership.
pub async fn poll_peers(context: Arc<Context>, stop: CancellationToken) {
    let mut pollers: Map<String, (SocketAddr, CancellationToken)> = Map::default();
    let tasks = TaskTracker::new();
    loop {
        let members = context.members.all();
        let own_name = context.settings.daemon.as_str();
        pollers.retain(|name, (address, cancel)| {
            let kept = members.iter().any(|(it, member)| it == name && member.peer == *address);
            if !kept {
                cancel.cancel();
            }
            kept
        });
        let daemons = members.len();
        for (name, member) in members {
            if name == own_name || pollers.contains_key(&name) {
                continue;
            }
            let cancel = stop.child_token();
            pollers.insert(name.clone(), (member.peer, cancel.clone()));
            let poller = Poller { context: context.clone(), name, address: member.peer, daemons };
            tasks.spawn(async move {
                tokio::select! {
                    () = cancel.cancelled() => {}
                    () = poller.run() => {}
                }
            });
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Polls one peer.
struct Poller {
    context: Arc<Context>,
    name: String,
    address: SocketAddr,
    daemons: usize,
}

impl Poller {
    async fn run(self) {
        let slowdown = (self.daemons as f64 / FULL_RATE_DAEMONS as f64).max(1.0);
        let interval = POLL_INTERVAL.mul_f64(slowdown).min(MAX_POLL_INTERVAL);
        let mut connection: Option<PulseClient> = None;
        let mut was_reachable = true;
        loop {
            // Jitter keeps the daemons' polls from synchronizing.
            time::sleep(interval.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
            let response = time::timeout(RESPONSE_TIMEOUT, self.poll_once(&mut connection)).await;
            let is_reachable = response.is_ok_and(|it| it);
            if !is_reachable {
                connection = None;
            }
            if is_reachable != was_reachable {
                info!(
                    peer = self.name,
                    answers = is_reachable,
                    "peer started or stopped responding"
                );
                was_reachable = is_reachable;
            }
        }
    }

    /// Polls the peer once; returns whether it responded.
    async fn poll_once(&self, connection: &mut Option<PulseClient>) -> bool {
        let client = match connection {
            Some(client) => client,
            None => {
                let Ok(transport) = transport::connect(self.address, STREAM_PATH).await else {
                    return false;
                };
                connection.insert(PulseClient::new(client::Config::default(), transport).spawn())
            }
        };
        let requested_at = self.context.now();
        let request = self.context.peers.next_request(&self.name);
        let Ok(news) = client.news(call::current(), request).await else {
            return false;
        };
        self.apply(client, news, requested_at).await;
        true
    }

    async fn apply(&self, client: &PulseClient, news: News, requested_at: Time) {
        let context = &self.context;
        let now = context.now();
        context.peers.record_news(&self.name, &news, now);
        let document = context.document.load();
        if let Some(document) = document.as_ref() {
            let (tokens, store) = (document.engine_tokens(), document.kv_store());
            context.placer().record_entries(&news.cache_updates, tokens, store);
        }
        context.apply_news(&news);
        for fact in &news.suspects {
            context.suspects().learn(fact, now);
        }
        for endpoint in context.view.load().all() {
            if news.dead.contains(&(endpoint.hash, endpoint.record.incarnation)) {
                endpoint.health.mark_suspected(now);
            }
        }
        let own_version = context.document.load().as_ref().map(|it| it.version);
        if news.document > own_version {
            self.fetch_document(client).await;
        }
        let own_version = context.document.load().as_ref().map(|it| it.version);
        if let (Some(age), true) =
            (news.age_us, own_version.is_some() && own_version == news.document)
        {
            // The peer's age counts from the time of the request: the document may have been
            // replaced since.
            context.freshness.confirm(requested_at - Duration::from_micros(age));
        }
    }

    /// Fetches a newer document from the peer and makes it active.
    async fn fetch_document(&self, client: &PulseClient) {
        let Ok(Some((key, version, value))) = client.document(call::current()).await else {
            return;
        };
        let row = Row { key, value: Some(value), version, removed: false };
        match self.context.schema.decode_operator_row(&row) {
            Ok(dialect::Directive::Document(document)) => {
                apply_document(&self.context, document, &row)
            }
            Ok(_) => {}
            Err(error) => info!(peer = self.name, %error, "failed to decode document from peer"),
        }
    }
}
