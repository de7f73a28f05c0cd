//! The calls between daemons. Each asks each other one at short intervals.

// The service macro writes items of its own without documentation.
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
        dialect::OperatorRow,
        follow::apply_document,
        peer::{Ask, News, Share},
        store::Row,
    },
    kernel::clock::Time,
};

/// The time between questions to a peer, in a fleet of up to [`FREQUENT_PEERS`].
const EVERY: Duration = Duration::from_millis(100);

/// Peers that are asked every [`EVERY`]; with more, each is asked more rarely, so that the calls
/// a second stay the same.
const FREQUENT_PEERS: usize = 12;

/// The longest time between questions to a peer: it must not count as silent.
const RAREST: Duration = Duration::from_millis(300);

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// The least failures at an upstream, faded, that other daemons are told of.
const TOLD_FAILURES: f32 = 0.5;

/// The path of the streams that carry these calls.
const PATH: &str = "/pulse";

/// The calls of one daemon to another.
#[tarpc::service]
pub trait Pulse {
    /// Asks for news.
    async fn news(ask: Ask) -> News;
    /// Asks for the row that holds the operator's document.
    async fn document() -> Option<(String, u64, Vec<u8>)>;
}

#[derive(Clone)]
struct Server(Arc<Context>);

impl Pulse for Server {
    async fn news(self, _: call::Context, ask: Ask) -> News {
        news(&self.0, &ask)
    }

    async fn document(self, _: call::Context) -> Option<(String, u64, Vec<u8>)> {
        let source = self.0.source.load_full()?;
        Some((source.key.clone(), source.version, source.value.clone()?))
    }
}

/// What this daemon tells.
fn news(context: &Context, ask: &Ask) -> News {
    let after = if ask.incarnation == context.incarnation { ask.after } else { 0 };
    let (last, held) = context.peers.facts().after(after);
    let now = context.now();
    let progress = context.progress.load();
    let weights = progress.targets().map(|(model, target)| (model.clone(), target.version));
    let (mut shares, mut dead) = (Vec::new(), Vec::new());
    let load = context.peers.load();
    for endpoint in context.view.load().all() {
        let (gauge, engine) = (&endpoint.gauge, endpoint.hash);
        let (calls, outcomes) = (gauge.calls(), gauge.outcomes(now));
        // Without calls in progress an upstream is listed only while some daemon's calls fail there.
        let failing = outcomes.failures >= TOLD_FAILURES
            || load.get(&engine).is_some_and(|it| it.outcomes.failures >= TOLD_FAILURES);
        if calls > 0 || failing {
            let (tokens, memory) = (gauge.tokens(), gauge.memory());
            shares.push(Share { engine, calls, tokens, memory, outcomes });
        }
        if gauge.is_dead() {
            dead.push((engine, endpoint.record.incarnation));
        }
    }
    News {
        incarnation: context.incarnation,
        ready: context.is_ready(),
        document: context.document.load().as_ref().map(|it| it.version),
        age_us: context.freshness.age(now).map(|it| it.as_micros() as u64),
        weights: weights.collect(),
        told: context.told.load().to_vec(),
        last,
        held,
        shares,
        dead,
        suspects: context.suspects().facts(),
    }
}

/// Answers other daemons until `stop`.
pub async fn serve(context: Arc<Context>, listener: TcpListener, stop: CancellationToken) {
    let answer = move |transport| {
        let channel = BaseChannel::with_defaults(transport);
        channel.execute(Server(context.clone()).serve()).for_each(|call| call)
    };
    transport::serve(listener, answer, stop).await;
}

/// Asks the other daemons until `stop`.
pub async fn ask(context: Arc<Context>, stop: CancellationToken) {
    let mut asking: Map<String, (SocketAddr, CancellationToken)> = Map::default();
    let tasks = TaskTracker::new();
    loop {
        let members = context.members.all();
        let own = context.settings.daemon.as_str();
        asking.retain(|name, (address, task)| {
            let kept = members.iter().any(|(it, member)| it == name && member.peer == *address);
            if !kept {
                task.cancel();
            }
            kept
        });
        let peers = members.len();
        for (name, member) in members {
            if name == own || asking.contains_key(&name) {
                continue;
            }
            let task = stop.child_token();
            asking.insert(name.clone(), (member.peer, task.clone()));
            let asker = Asker { context: context.clone(), name, address: member.peer, peers };
            tasks.spawn(async move {
                tokio::select! {
                    () = task.cancelled() => {}
                    () = asker.run() => {}
                }
            });
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(EVERY) => {}
        }
    }
}

/// Asks one peer.
struct Asker {
    context: Arc<Context>,
    name: String,
    address: SocketAddr,
    peers: usize,
}

impl Asker {
    async fn run(self) {
        let rarer = (self.peers as f64 / FREQUENT_PEERS as f64).max(1.0);
        let every = EVERY.mul_f64(rarer).min(RAREST);
        let mut connection: Option<PulseClient> = None;
        let mut answered = true;
        loop {
            // Spread, so that the daemons' questions do not fall together.
            time::sleep(every.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
            let answers = time::timeout(ANSWER_TIMEOUT, self.round(&mut connection)).await;
            let answers = answers.is_ok_and(|it| it);
            if !answers {
                connection = None;
            }
            if answers != answered {
                info!(peer = self.name, answers, "peer");
                answered = answers;
            }
        }
    }

    /// Asks once; tells whether there was an answer.
    async fn round(&self, connection: &mut Option<PulseClient>) -> bool {
        let client = match connection {
            Some(client) => client,
            None => {
                let Ok(transport) = transport::connect(self.address, PATH).await else {
                    return false;
                };
                connection.insert(PulseClient::new(client::Config::default(), transport).spawn())
            }
        };
        let asked = self.context.now();
        let ask = self.context.peers.ask(&self.name);
        let Ok(news) = client.news(call::current(), ask).await else {
            return false;
        };
        self.learn(client, news, asked).await;
        true
    }

    async fn learn(&self, client: &PulseClient, news: News, asked: Time) {
        let context = &self.context;
        let now = context.now();
        context.peers.learn(&self.name, &news, now);
        let document = context.document.load();
        if let Some(document) = document.as_ref() {
            let (tokens, store) = (document.engine_tokens(), document.kv_store());
            context.placer().learn(&news.held, tokens, store);
        }
        context.tell(&news);
        for fact in &news.suspects {
            context.suspects().learn(fact, now);
        }
        for endpoint in context.view.load().all() {
            if news.dead.contains(&(endpoint.hash, endpoint.record.incarnation)) {
                endpoint.gauge.suspect(now);
            }
        }
        let own = context.document.load().as_ref().map(|it| it.version);
        if news.document > own {
            self.fetch(client).await;
        }
        let own = context.document.load().as_ref().map(|it| it.version);
        if let (Some(age), true) = (news.age_us, own.is_some() && own == news.document) {
            // Counted from the question: the peer's document may have been replaced since.
            context.freshness.confirm(asked - Duration::from_micros(age));
        }
    }

    /// Fetches a newer document.
    async fn fetch(&self, client: &PulseClient) {
        let Ok(Some((key, version, value))) = client.document(call::current()).await else {
            return;
        };
        let row = Row { key, value: Some(value), version, removed: false };
        match self.context.schema.decode_operator_row(&row) {
            Ok(OperatorRow::Document(document)) => apply_document(&self.context, document, &row),
            Ok(_) => {}
            Err(error) => info!(peer = self.name, %error, "document not decoded"),
        }
    }
}
