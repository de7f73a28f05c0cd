//! Carries the outcomes of [`Core`] to the table service and the engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::StatusCode;
use metrics::{counter, gauge};
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Error,
    control::{
        charge::{FLIGHT, Rejection},
        core::Core,
        event::{Event, Outcome, Scope, View},
        lease::Holder,
        plan::{self, Engine},
        shard::{self, Name},
    },
    http::client::{self, Reuse},
    kernel::{
        clock::Time,
        context::Context,
        registry::{Component, Registration},
    },
    platform::{
        table::{Row, Table},
        vm::Role,
    },
    timeline::Subject,
    upstream::wire::{Order, State, Weights},
};

/// The time between decisions when nothing happens.
const TICK: Duration = Duration::from_millis(500);

/// The longest wait for the state of an engine.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest wait for the leases to be given up at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Rows that a scan reads; there are fewer leases.
const SCAN_ROWS: usize = 256;

struct Control;

#[async_trait]
impl Component for Control {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let mut driver = Driver::new(context.clone());
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = tick.tick() => driver.look(),
                Some(Ok(event)) = driver.calls.join_next() => driver.feed(event),
            }
        }
        driver.core.stop();
        drop(time::timeout(RELEASE_TIMEOUT, driver.release()).await);
    }
}

inventory::submit! {
    Registration {
        name: "control",
        make: || Box::new(Control),
    }
}

struct Driver {
    context: Arc<Context>,
    core: Core,
    calls: JoinSet<Event>,
    held: Vec<Name>,
}

impl Driver {
    fn new(context: Arc<Context>) -> Driver {
        let me =
            Holder { daemon: context.settings.daemon.clone(), incarnation: context.incarnation };
        Driver {
            core: Core::new(me, context.settings.weight_loads),
            context,
            calls: JoinSet::new(),
            held: Vec::new(),
        }
    }

    /// Tells the core what is known now.
    fn look(&mut self) {
        if self.context.leaving.is_cancelled() {
            self.core.stop();
        }
        let Some(catalog) = self.context.configuration.catalog() else {
            // Without a catalog nobody knows what the engines should be.
            return self.feed(Event::Tick);
        };
        let directory = self.context.directory.load();
        let mut engines = Vec::new();
        for upstream in directory.upstreams() {
            let Role::Engine { model, fenced } = &upstream.role else {
                continue;
            };
            let state = upstream.load.as_ref().map(|it| &it.state);
            engines.push(Engine {
                name: upstream.name.clone(),
                address: upstream.address,
                model: model.clone(),
                fenced: *fenced,
                open: upstream.is_open(),
                loaded: state.map(|it| it.loaded.clone()).unwrap_or_default(),
            });
        }
        self.feed(Event::View(View {
            engines,
            daemons: self.context.members.count(),
            needs: plan::needs(&catalog),
        }));
        let snapshot = self.context.catalog.load();
        let readiness = |weights: &Weights| self.core.readiness(weights);
        let waiting = self.context.rollout.update(&snapshot, readiness);
        gauge!("tealturn_rollout_waiting").set(waiting.len() as f64);
    }

    fn feed(&mut self, event: Event) {
        let outcomes = self.core.step(self.context.now(), rand::random(), event);
        // A lease comes before the orders given under it.
        self.report();
        for outcome in outcomes {
            self.carry_out(outcome);
        }
    }

    async fn release(&mut self) {
        self.feed(Event::Tick);
        while !self.core.is_idle() {
            let Some(Ok(event)) = self.calls.join_next().await else {
                return;
            };
            self.feed(event);
        }
    }

    fn carry_out(&mut self, outcome: Outcome) {
        let context = self.context.clone();
        match outcome {
            Outcome::Scan(scope) => {
                self.calls.spawn(async move {
                    let rows = scan(&*context.table, scope).await;
                    Event::Scanned { scope, rows }
                });
            }
            Outcome::Write { name, transaction } => {
                self.calls.spawn(async move {
                    counter!("tealturn_lease_writes_total").increment(1);
                    let result = context.table.commit(&transaction).await;
                    Event::Written { name, result }
                });
            }
            Outcome::Read { asker, upstream, address } => {
                self.calls.spawn(async move {
                    let asked = context.now();
                    let read = context.client.get(address, "/v1/state");
                    let state = time::timeout(READ_TIMEOUT, read).await;
                    Event::Observed {
                        asker,
                        upstream,
                        asked,
                        state: state.ok().and_then(Result::ok),
                    }
                });
            }
            Outcome::Order { upstream, address, order, loads, valid_until } => {
                let detail = describe(&order, loads);
                let subject = Subject::Upstream(upstream.to_string());
                context.ring.record(subject, "order_sent", detail);
                self.calls.spawn(async move {
                    let result = send(&context, address, &order, valid_until).await;
                    let outcome = result.as_ref().map_or_else(label, |_| "obeyed");
                    counter!("tealturn_orders_total", "outcome" => outcome).increment(1);
                    Event::Obeyed { upstream, result }
                });
            }
        }
    }

    /// Records leases that were taken or lost since the last call.
    fn report(&mut self) {
        let leases = self.core.leases();
        let held = leases.filter(|(_, lease)| lease.tenure().is_some());
        let held: Vec<_> = held.map(|(name, _)| name).collect();
        if held == self.held {
            return;
        }
        let ring = &self.context.ring;
        for name in held.iter().filter(|it| !self.held.contains(it)) {
            ring.record(Subject::Lease(name.key()), "lease_taken", "");
        }
        for name in self.held.iter().filter(|it| !held.contains(it)) {
            ring.record(Subject::Lease(name.key()), "lease_ended", "");
        }
        gauge!("tealturn_leases_held").set(held.len() as f64);
        self.held = held;
    }
}

async fn scan(table: &dyn Table, scope: Scope) -> Option<Vec<Row>> {
    let prefix = match scope {
        Scope::All => shard::PREFIX.to_owned(),
        Scope::Loads => format!("{}load/", shard::PREFIX),
    };
    table.scan(&prefix, "", SCAN_ROWS).await.ok()
}

/// Sends an order, unless the right to give it has ended by the time that the connection is open.
async fn send(
    context: &Context,
    address: SocketAddr,
    order: &Order,
    valid_until: Time,
) -> Result<State, Rejection> {
    let body = serde_json::to_vec(order).map_err(|_| Rejection::NotSent)?;
    let request = client::request("POST", address, "/v1/orders", Bytes::from(body))
        .map_err(|_| Rejection::NotSent)?;
    let may_send = || context.now() < valid_until;
    let exchange = async {
        let sent = context.client.send_if(address, request, Reuse::Forbidden, may_send).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(Error::Withheld { .. } | Error::Connect { .. }) => return Err(Rejection::NotSent),
            Err(_) => return Err(Rejection::Lost),
        };
        let status = answer.response.status();
        let body = context.client.finish(answer).await;
        match (status, body) {
            (StatusCode::OK, Ok(body)) => {
                serde_json::from_slice(&body).map_err(|_| Rejection::Lost)
            }
            (StatusCode::CONFLICT, _) => Err(Rejection::Fenced),
            _ => Err(Rejection::Lost),
        }
    };
    // Dropping the exchange closes its connection.
    time::timeout(FLIGHT, exchange).await.unwrap_or(Err(Rejection::Lost))
}

fn describe(order: &Order, loads: bool) -> String {
    let mut text = format!("fence {}", order.fence);
    for weights in &order.weights {
        text.push_str(&format!(", {} {}", weights.model, weights.version));
    }
    if loads {
        text.push_str(", starts a load");
    }
    text
}

fn label(rejection: &Rejection) -> &'static str {
    match rejection {
        Rejection::Fenced => "fenced",
        Rejection::NotSent => "not_sent",
        Rejection::Lost => "lost",
    }
}
