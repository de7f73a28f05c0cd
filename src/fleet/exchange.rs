//! The edge of the exchange: carries the messages of [`Core`] between daemons.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use async_trait::async_trait;
use metrics::{counter, gauge};
use rand::RngExt;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    Error, Result,
    catalog::{keeper::Update, poll},
    fleet::{
        contact,
        core::{Core, Own, Received, TICK},
        link::{Call, Links},
        member::{Live, Member},
        message::{self, Envelope, MAX_MESSAGE_BYTES, Message, Question, Refusal},
        roster::Change,
        service::{self, Handler},
        transport::MAX_FRAME_BYTES,
    },
    kernel::{
        context::Context,
        registry::{Component, Registration},
    },
    platform::vm::Role,
    timeline::Subject,
};

/// Urgent news that comes within this time goes into one message.
const GATHER: Duration = Duration::from_millis(20);

/// How much more seldom than the table the VM list is read.
const VM_LIST_POLLS: u32 = 2;

/// Times that a daemon that knows no other asks several at once.
const GREETINGS: u32 = 3;

/// Changes of the configuration in one answer.
const UPDATE_ENTRIES: usize = 512;

inventory::submit! {
    Registration {
        name: "exchange",
        make: || Box::new(Exchange),
    }
}

struct Exchange;

#[async_trait]
impl Component for Exchange {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let Some(listener) = context.peer_listener.take() else {
            return;
        };
        let edge = Arc::new(Edge::new(context));
        let handler = Arc::new(Server(edge.clone()));
        let serving = service::serve(listener, handler, stop.clone());
        tokio::select! {
            () = serving => {}
            () = edge.clone().tick() => {}
            () = edge.clone().push() => {}
            () = edge.clone().find() => {}
            () = stop.cancelled() => {}
        }
    }
}

struct Edge {
    context: Arc<Context>,
    core: Mutex<Core>,
    links: Links,
    /// Wakes [`Edge::push`].
    wake: tokio::sync::Notify,
}

impl Edge {
    fn new(context: Arc<Context>) -> Edge {
        let own = Member {
            daemon: context.settings.daemon.clone(),
            incarnation: context.incarnation,
            zone: context.settings.zone.clone(),
            caller: context.bound_addrs.caller,
            peer: context.bound_addrs.peer,
            operator: context.bound_addrs.operator,
            leaving: false,
        };
        let mut core = Core::new(context.now(), own, context.board.clone());
        core.set_seeds(context.settings.seeds.clone());
        Edge {
            context,
            core: Mutex::new(core),
            links: Links::default(),
            wake: tokio::sync::Notify::new(),
        }
    }

    /// Sends the messages that nobody waits for.
    async fn tick(self: Arc<Edge>) {
        loop {
            let now = self.context.now();
            self.links.close_idle(now);
            let to = self.core().tick(now, &mut rand::rng());
            self.show();
            contact::review(&self.context);
            if let Some(to) = to {
                tokio::spawn(self.clone().send(to, false));
            }
            let jitter = rand::rng().random_range(0.8..1.2);
            time::sleep(TICK.mul_f64(jitter)).await;
        }
    }

    /// Sends urgent news to several daemons as soon as there is some.
    async fn push(self: Arc<Edge>) {
        let context = &self.context;
        let mut revisions = context.configuration.subscribe();
        let mut told = false;
        loop {
            tokio::select! {
                () = context.board.urgent() => {}
                _ = revisions.changed() => {}
                () = self.wake.notified() => {}
                () = context.leaving.cancelled(), if !told => {
                    told = true;
                    self.core().leave();
                }
            }
            time::sleep(GATHER).await;
            let now = context.now();
            let fanout = self.core().fanout(now, &mut rand::rng());
            for to in fanout {
                tokio::spawn(self.clone().send(to, true));
            }
        }
    }

    /// Looks for other daemons in the VM list.
    async fn find(self: Arc<Edge>) {
        let mut greeted = 0;
        loop {
            if let Ok(entries) = self.context.vms.entries().await {
                let mut seeds = self.context.settings.seeds.clone();
                for entry in &entries {
                    let Role::Daemon { peer } = entry.role else {
                        continue;
                    };
                    seeds.push(peer);
                }
                self.core().set_seeds(seeds);
            }
            if greeted < GREETINGS && self.core().roster().is_empty() {
                greeted += 1;
                let greeted = self.core().greet(&mut rand::rng());
                for to in greeted {
                    tokio::spawn(self.clone().send(to, false));
                }
            }
            let fleet = self.context.members.count();
            let wait = poll::interval(fleet, rand::rng().random_range(0.0..1.0));
            time::sleep(wait * VM_LIST_POLLS).await;
        }
    }

    async fn send(self: Arc<Edge>, to: SocketAddr, urgent: bool) {
        let message = {
            let (now, own) = (self.context.now(), self.own());
            let mut core = self.core();
            match urgent {
                true => core.urgent(now, own),
                false => core.message(now, own, &mut rand::rng()),
            }
        };
        let result = self.exchange(to, &message).await;
        let outcome = match &result {
            Ok(()) => "answered",
            Err(Error::Refused { .. }) => "refused",
            Err(_) => "failed",
        };
        counter!("tealturn_peer_messages_total", "outcome" => outcome).increment(1);
        if let Err(error) = result {
            tracing::debug!(%error, "a daemon gave no answer");
            if is_refused(&error) {
                self.core().refused(to);
            }
        }
    }

    async fn exchange(&self, to: SocketAddr, message: &Message) -> Result<()> {
        let envelope = message::seal(self.deployment(), message);
        let now = self.context.now();
        let answer = self.links.call(now, to, Call::Exchange, envelope).await?;
        let answer: Message = self.opened(&answer, MAX_MESSAGE_BYTES)?;
        self.context.ring.observe(answer.stamp);
        let (now, own) = (self.context.now(), self.own());
        let received = self.core().answered(now, own, message, &answer);
        self.take(&received);
        match received.newer {
            Some(newer) => self.fetch(newer).await,
            None => Ok(()),
        }
    }

    /// Acts on what came of a message.
    fn take(&self, received: &Received) {
        for change in &received.changes {
            self.record(change);
        }
        if received.contested {
            counter!("tealturn_peer_name_contested_total").increment(1);
        }
        let left = |it: &Change| matches!(it, Change::Left(_));
        if received.changes.iter().any(left) {
            self.show();
            self.wake.notify_one();
        }
        if received.confirms && received.newer.is_none() {
            contact::confirmed(&self.context);
        }
    }

    /// Fetches the configuration from a daemon that has a newer one.
    async fn fetch(&self, from: SocketAddr) -> Result<()> {
        let revision = self.context.configuration.revision();
        let envelope = message::seal(self.deployment(), &Question { revision });
        let now = self.context.now();
        let answer = self.links.call(now, from, Call::Update, envelope).await?;
        let update: Option<Update> = self.opened(&answer, MAX_FRAME_BYTES)?;
        if let Some(update) = update {
            poll::install(&self.context, &update);
        }
        contact::confirmed(&self.context);
        Ok(())
    }

    fn record(&self, change: &Change) {
        let (member, kind) = match change {
            Change::Joined(member) => (member, "daemon_joined"),
            Change::Left(member) => (member, "daemon_leaving"),
        };
        self.context.contact.meet();
        let subject = Subject::Daemon(member.daemon.to_string());
        let detail = format!("incarnation {}", member.incarnation);
        self.context.ring.record(subject, kind, detail);
    }

    /// Shows the fleet to the other parts.
    fn show(&self) {
        let now = self.context.now();
        let core = self.core();
        let mut live = Vec::new();
        for (member, load) in core.roster().loads(now) {
            live.push(Live { member: member.clone(), load });
        }
        let is_left = core.is_left(now);
        self.context.members.set_requests(core.requests());
        drop(core);
        gauge!("tealturn_daemons_live").set(live.len() as f64 + 1.0);
        self.context.members.set(live);
        if is_left {
            self.context.members.left().cancel();
        }
    }

    fn own(&self) -> Own {
        Own {
            stamp: self.context.ring.stamp(),
            ready: self.context.ready.load(Ordering::Acquire),
            revision: self.context.configuration.revision(),
        }
    }

    fn opened<T: serde::de::DeserializeOwned>(
        &self,
        envelope: &Envelope,
        limit: usize,
    ) -> Result<T> {
        message::open(self.deployment(), envelope, limit).map_err(|refusal| Error::Malformed {
            kind: "message of a daemon",
            reason: refusal.to_string(),
        })
    }

    fn deployment(&self) -> &str {
        &self.context.settings.deployment
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|it| it.into_inner())
    }
}

fn is_refused(error: &Error) -> bool {
    match error {
        Error::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Answers the calls of other daemons.
struct Server(Arc<Edge>);

#[async_trait]
impl Handler for Server {
    async fn exchange(&self, envelope: Envelope) -> Result<Envelope, Refusal> {
        let edge = &self.0;
        let message: Message = edge.open(&envelope, MAX_MESSAGE_BYTES)?;
        edge.context.ring.observe(message.stamp);
        let (now, own) = (edge.context.now(), edge.own());
        let (received, answer) = {
            let mut core = edge.core();
            let received = core.receive(now, own, &message);
            let answer = core.answer(now, own, &message, &mut rand::rng());
            (received, answer)
        };
        edge.take(&received);
        if let Some(newer) = received.newer {
            let edge = edge.clone();
            tokio::spawn(async move { drop(edge.fetch(newer).await) });
        }
        Ok(message::seal(edge.deployment(), &answer))
    }

    async fn update(&self, envelope: Envelope) -> Result<Envelope, Refusal> {
        let edge = &self.0;
        let question: Question = edge.open(&envelope, MAX_MESSAGE_BYTES)?;
        let configuration = &edge.context.configuration;
        let update = configuration.update(question.revision, UPDATE_ENTRIES);
        Ok(message::seal(edge.deployment(), &update))
    }
}

impl Edge {
    fn open<T: serde::de::DeserializeOwned>(
        &self,
        envelope: &Envelope,
        limit: usize,
    ) -> Result<T, Refusal> {
        let opened = message::open(self.deployment(), envelope, limit);
        if let Err(refusal) = &opened {
            counter!("tealturn_peer_refusals_total").increment(1);
            tracing::warn!(%refusal, "a message was refused");
        }
        opened
    }
}
