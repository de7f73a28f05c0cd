//! Daemons that exchange state in virtual time, without a network.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use http::request;
use hyper::{HeaderMap, Response, StatusCode};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tealturn::{
    gateway::{
        budget,
        call::{Call, Dispatch, Forward, Head},
        context::{Context, Setup},
        dialect::{self, Answer, Directive, Evidence, Order, Refusal, Reply, Report},
        document::{self, Document, Limits, Tenant},
        exchange::{
            self,
            wire::{self, PROTOCOL},
        },
        follow::{self, MEMBER_PREFIX},
        member::Member,
        message::{Link, Message},
        origin,
        quota::{Quota, Tolerance, Unit},
        roster::{Endpoint, Record},
        settings::Settings,
        store::{self, Era, Page, Position, Row, Store, Topic, Write},
    },
    http::{client::Client, server::Body},
    kernel::{
        clock::{Clock, Time},
        id::{Build, Daemon, Incarnation, Model, Service, Upstream, Version, Workspace, Zone},
    },
    route::pool::name_hash,
};

use crate::{
    link::{Flow, Links},
    scene,
};

/// Steps of virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Time after which an exchange without a response has failed.
const TIMEOUT: Duration = Duration::from_millis(350);

const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between two questions of a watcher to the store.
const STORE_INTERVAL: Duration = Duration::from_millis(1_800);

pub const ZONES: usize = 5;

/// How far usage may exceed quotas; those that count requests have no fixed amount.
pub const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), excess: 0.1, slack: 72_000.0 };

/// The longest that a daemon which is no watcher puts off a question to the store.
const AGE_JITTER: Duration = Duration::from_millis(700);

/// Key of the row that names the latest version of the weights, as the only one.
const WEIGHTS_KEY: &str = "weights";

/// Stands at the end of a document that is larger than what it says.
const PADDING: char = '#';

/// The time of one VM: that of the simulation and an offset of its own.
struct VmClock {
    now: Arc<AtomicU64>,
    ahead: u64,
}

impl Clock for VmClock {
    fn now(&self) -> Time {
        Time(self.now.load(Ordering::Relaxed) + self.ahead)
    }

    fn wall_micros(&self) -> u64 {
        self.now().0
    }
}

/// Nothing here calls the platform.
struct Unused;

#[async_trait]
impl Store for Unused {
    async fn list(&self, _: Topic, _: Option<&str>) -> Result<Page, store::Error> {
        unreachable!()
    }
    async fn changes(&self, _: Topic, _: u64, _: Duration) -> Result<Page, store::Error> {
        unreachable!()
    }
    async fn get(&self, _: Topic, _: &str) -> Result<store::Answer<Option<Row>>, store::Error> {
        unreachable!()
    }
    async fn write(&self, _: &Write) -> Result<store::Answer<store::Outcome>, store::Error> {
        unreachable!()
    }
    async fn write_all(&self, _: &store::Batch) -> Result<store::Answer<()>, store::Error> {
        unreachable!()
    }
}

impl dialect::Format for Unused {
    fn parse_field(&self, _: &[u8], _: &[u8]) -> dialect::Field {
        unreachable!()
    }
    fn identifies_events(&self) -> bool {
        unreachable!()
    }
}

impl dialect::Dialect for Unused {
    fn parse_request(&self, _: &request::Parts) -> Result<Head, Refusal> {
        unreachable!()
    }
    fn write_request_headers(&self, _: &Call, _: &Dispatch, _: &mut HeaderMap) {
        unreachable!()
    }
    fn write_forwarded_headers(&self, _: &Forward, _: &mut HeaderMap) {
        unreachable!()
    }
    fn name_upstream(&self, _: &Endpoint, _: &mut HeaderMap) {
        unreachable!()
    }
    fn take_upstream(&self, _: &mut HeaderMap) -> Option<(Upstream, Incarnation)> {
        unreachable!()
    }
    fn retry_after(&self, _: &HeaderMap) -> Option<Duration> {
        unreachable!()
    }
    fn parse_response(&self, _: &Call, _: StatusCode, _: &HeaderMap) -> Evidence {
        unreachable!()
    }
    fn denies_execution(&self, _: StatusCode) -> bool {
        unreachable!()
    }
    fn error_response(&self, _: Refusal) -> Response<Body> {
        unreachable!()
    }
}

#[async_trait]
impl dialect::Engines for Unused {
    async fn report(&self, _: &Endpoint) -> Answer<Report> {
        unreachable!()
    }
    async fn order(&self, _: &Endpoint, _: &Order, _: Time) -> Answer<Reply> {
        unreachable!()
    }
}

/// A row `version-N` of the operator sets a target, and the row [`WEIGHTS_KEY`] the one that its value
/// names; any other is a document whose version is its value, or that of the row if it has none. The value
/// may also name a quota, see [`Fleet::write_quotas`]. An upstream is an engine, and `engine-7.v2` has the build `v2`;
/// its value may be a number of slots.
struct Schema;

impl dialect::Schema for Schema {
    fn decode_operator_row(&self, row: &Row) -> Result<Directive, dialect::Error> {
        let value = row.value.as_deref().unwrap_or_default();
        let version = match row.key == WEIGHTS_KEY {
            true => std::str::from_utf8(value).ok(),
            false => row.key.strip_prefix("version-"),
        };
        if let Some(version) = version {
            let version = version.parse().map_err(|_| dialect::Error("no number".to_owned()))?;
            return Ok(Directive::Weights(Model::from(scene::MODEL), Version(version)));
        }
        let text = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
        let mut words = text.unwrap_or_default().trim_end_matches(PADDING).split(' ');
        let named = words.next();
        let tenants = words.map(|it| (tenant(it), Vec::new())).collect();
        let parts = document::Parts {
            version: named.and_then(|it| it.parse().ok()).unwrap_or(row.version),
            routes: Vec::new(),
            services: vec![document::Settings {
                name: Service::from(scene::SERVICE),
                capacity_tokens: None,
                kv_store: None,
            }],
            limits: Limits { body_bytes: 1, header_bytes: 1, idle: Duration::from_secs(1) },
            tenants: Some(tenants),
        };
        let document = Document::new(parts).map_err(|error| dialect::Error(error.to_string()))?;
        Ok(Directive::Document(Arc::new(document)))
    }

    fn decode_upstream(&self, row: &Row) -> Result<Record, dialect::Error> {
        let name = row.key.trim_start_matches("engine-");
        let (number, build) = name.split_once('.').unwrap_or((name, scene::BUILD));
        let number = number.parse().map_err(|_| dialect::Error("no number".to_owned()))?;
        let record = scene::record(number, 1);
        let value = row.value.as_deref().and_then(|it| std::str::from_utf8(it).ok());
        let slots = value.and_then(|it| it.parse().ok()).unwrap_or(record.slots);
        Ok(Record { build: Build::from(build), slots, ..record })
    }
}

/// Reads a workspace from `NAME:RATE:BURST:UNIT`.
fn tenant(text: &str) -> Tenant {
    let fields: Vec<_> = text.split(':').collect();
    let number = |index: usize| fields[index].parse::<f64>().expect("a number");
    let unit = match fields[3] {
        "tokens" => Unit::Tokens { unstated: 0 },
        _ => Unit::Requests,
    };
    let (rate, burst) = (number(1), number(2));
    Tenant {
        workspace: Workspace::from(fields[0]),
        priority: None,
        isolated: false,
        quota: (rate > 0.0).then_some(Quota { rate, burst, unit }),
    }
}

/// What a daemon has sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Calls made and answered.
    pub calls: u64,
    /// Bytes of all messages, both ways.
    pub bytes: u64,
}

struct Vm {
    name: String,
    zone: usize,
    cpu_millis: u32,
    clock: Arc<VmClock>,
    /// `None` while it is down.
    context: Option<Arc<Context>>,
    /// When each running caller sends its next message.
    calls: BTreeMap<String, (Link, Time)>,
    planned_at: Time,
    retried_at: Time,
    asked_at: Time,
    traffic: Traffic,
    /// Messages to and from it are lost.
    is_cut: bool,
    /// Messages between daemons of different parts are lost.
    part: u8,
    /// It neither sends nor answers, and sees no time pass.
    is_frozen: bool,
}

/// What is on its way over links.
enum Payload {
    Request {
        message: Message,
        sent_at: Time,
    },
    Response {
        message: Message,
        sent_at: Time,
    },
    /// Rows of a topic for a daemon that asked for those after a transaction.
    Rows {
        topic: Topic,
        rows: Vec<Row>,
        after: Option<u64>,
        position: Position,
        asked_at: Time,
    },
}

/// What the store held at a moment.
pub struct Snapshot {
    rows: [Vec<Row>; 3],
    version: u64,
}

/// A fleet of daemons, and a store that only watchers ask.
pub struct Fleet {
    vms: Vec<Vm>,
    pub now: Time,
    clock: Arc<AtomicU64>,
    rng: StdRng,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Whether the store answers.
    pub store_answers: bool,
    rows: [Vec<Row>; 3],
    position: Position,
    started: u64,
    /// Messages take no time unless the links have a rate.
    links: Option<Links<Payload>>,
    /// Calls of daemons to others that failed, while links have a rate.
    pub failed_calls: u64,
}

impl Fleet {
    /// A fleet whose daemons all start at once and know the rows of all.
    pub fn new(daemons: usize, engines: u16, seed: u64) -> Fleet {
        let clock = Arc::new(AtomicU64::new(1_000_000));
        let mut rng = StdRng::seed_from_u64(seed);
        let vms = (0..daemons).map(|number| Vm {
            name: format!("vm-{number:03}"),
            zone: number % ZONES,
            cpu_millis: if number % 13 == 0 { 500 } else { 120 },
            clock: Arc::new(VmClock {
                now: clock.clone(),
                ahead: rng.random_range(0..100_000_000),
            }),
            context: None,
            calls: BTreeMap::new(),
            planned_at: Time::default(),
            retried_at: Time::default(),
            asked_at: Time::default(),
            traffic: Traffic::default(),
            is_cut: false,
            part: 0,
            is_frozen: false,
        });
        let vms: Vec<_> = vms.collect();
        let mut fleet = Fleet {
            now: Time(1_000_000),
            clock,
            rng,
            loss: 0.0,
            store_answers: true,
            rows: Default::default(),
            position: Position::default(),
            started: 0,
            links: None,
            failed_calls: 0,
            vms,
        };
        fleet.write(Topic::Operator, "document");
        for number in 0..engines {
            fleet.write(Topic::Upstreams, &format!("engine-{number}"));
        }
        for index in 0..daemons {
            fleet.register(index);
        }
        for index in 0..daemons {
            fleet.start(index);
        }
        fleet
    }

    /// Writes a row, which only the store knows at first.
    pub fn write(&mut self, topic: Topic, key: &str) -> u64 {
        self.write_value(topic, key, Vec::new())
    }

    /// Names weights in the row that held the version before.
    pub fn name_weights(&mut self, version: u64) {
        self.write_value(Topic::Operator, WEIGHTS_KEY, version.to_string().into_bytes());
    }

    fn write_value(&mut self, topic: Topic, key: &str, value: Vec<u8>) -> u64 {
        self.position.version += 1;
        let rows = &mut self.rows[topic as usize];
        rows.retain(|it| it.key != key);
        let (key, version) = (key.to_owned(), self.position.version);
        rows.push(Row { key, value: Some(value), version, removed: false });
        version
    }

    /// Daemons write and remove the rows of barred parts.
    fn write_bars(&mut self) {
        if !self.store_answers || !self.now.0.is_multiple_of(PLAN_INTERVAL.as_micros() as u64) {
            return;
        }
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            let Some(context) = vm.context.clone().filter(|_| !vm.is_cut) else { continue };
            let wall = Duration::from_micros(context.clock.wall_micros());
            let writes = context.crashes().writes(&vm.name, context.now(), wall);
            writes.into_iter().for_each(|it| self.commit(it));
        }
    }

    /// Applies a write unless the row has another version than expected.
    fn commit(&mut self, write: Write) {
        let rows = &mut self.rows[write.topic as usize];
        let known = rows.iter().find(|it| it.key == write.key && !it.removed);
        if write.expected.is_some_and(|it| it != known.map_or(0, |row| row.version)) {
            return;
        }
        self.position.version += 1;
        rows.retain(|it| it.key != write.key);
        let (version, removed) = (self.position.version, write.value.is_none());
        rows.push(Row { key: write.key, value: write.value, version, removed });
    }

    /// Writes a document of this version.
    pub fn write_document(&mut self, version: u64) {
        self.write_value(Topic::Operator, "document", version.to_string().into_bytes());
    }

    /// Writes a document of this version that takes this many bytes.
    pub fn write_large_document(&mut self, version: u64, bytes: usize) {
        let mut value = version.to_string().into_bytes();
        value.resize(bytes.max(value.len()), PADDING as u8);
        self.write_value(Topic::Operator, "document", value);
    }

    /// Gives the links of VMs a rate in bytes a second, from now on.
    pub fn limit_links(&mut self, rate: impl Fn(usize) -> f64) {
        self.links = Some(Links::new((0..self.vms.len()).map(rate).collect()));
    }

    /// The share of a processor core that a VM has, in thousandths.
    pub fn cpu_millis(&self, index: usize) -> u32 {
        self.vms[index].cpu_millis
    }

    /// What the store holds, to be restored later.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { rows: self.rows.clone(), version: self.position.version }
    }

    /// The store comes back from a snapshot: what was written since is gone, and its versions are
    /// given out again.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.rows = snapshot.rows;
        let era = Era(self.position.era.0 + 1);
        self.position = Position { era, version: snapshot.version };
    }

    fn register(&mut self, index: usize) {
        let vm = &self.vms[index];
        let member = Member {
            incarnation: Incarnation(1),
            zone: Zone::from(&*format!("zone-{}", vm.zone)),
            caller: SocketAddr::from(([10, 0, 0, 1], index as u16 + 1)),
            peer: SocketAddr::from(([10, 0, 0, 2], index as u16 + 1)),
            cpu_millis: vm.cpu_millis,
            protocol: PROTOCOL,
            leaving: false,
        };
        let value = serde_json::to_vec(&member).expect("a member can be encoded");
        let key = format!("{MEMBER_PREFIX}{}", vm.name);
        self.write_value(Topic::Fleet, &key, value);
    }

    /// Starts a daemon's process, which has read the registrations of daemons from the store.
    pub fn start(&mut self, index: usize) {
        self.started += 1;
        let vm = &mut self.vms[index];
        let setup = Setup {
            settings: settings(&vm.name, vm.zone, vm.cpu_millis),
            clock: vm.clock.clone(),
            client: Arc::new(Client::new()),
            dialect: Arc::new(Unused),
            schema: Arc::new(Schema),
            store: Arc::new(Unused),
            engines: Arc::new(Unused),
        };
        let context = Arc::new(Context::new(setup));
        vm.context = Some(context);
        vm.calls.clear();
        vm.planned_at = Time::default();
        self.read(index, Topic::Fleet);
    }

    /// A daemon lists a topic.
    pub fn read(&self, index: usize, topic: Topic) {
        let (context, rows) = (self.context(index), &self.rows[topic as usize]);
        follow::apply(context, topic, rows, None, self.position, context.now());
    }

    /// Ends a daemon's process.
    pub fn kill(&mut self, index: usize) {
        self.vms[index].context = None;
    }

    /// Cuts a daemon off from all others, and from the store, or ends that.
    pub fn cut(&mut self, index: usize, is_cut: bool) {
        self.vms[index].is_cut = is_cut;
    }

    /// Separates a daemon from those of other parts.
    pub fn separate(&mut self, index: usize, part: u8) {
        self.vms[index].part = part;
    }

    /// Suspends a daemon, or resumes it.
    pub fn freeze(&mut self, index: usize, is_frozen: bool) {
        self.vms[index].is_frozen = is_frozen;
    }

    /// Whether a message from one daemon reaches another and is answered.
    pub fn connects(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.vms[from], &self.vms[to]);
        let runs = |it: &Vm| it.context.is_some() && !it.is_cut && !it.is_frozen;
        runs(from) && runs(to) && from.part == to.part
    }

    /// Registers an engine that runs this many calls at a time.
    pub fn register_engine(&mut self, number: u16, slots: u32) {
        let key = format!("engine-{number}");
        self.write_value(Topic::Upstreams, &key, slots.to_string().into_bytes());
    }

    /// Writes a document with workspaces that have quotas, each as `NAME:RATE:BURST:UNIT`.
    pub fn write_quotas(&mut self, quotas: &str) {
        let value = format!("{} {quotas}", self.position.version + 1).into_bytes();
        self.write_value(Topic::Operator, "document", value);
    }

    /// Whether a daemon is cut off.
    pub fn is_cut(&self, index: usize) -> bool {
        self.vms[index].is_cut
    }

    /// The states of the daemons that run and aren't cut off.
    pub fn contexts(&self) -> Vec<Arc<Context>> {
        self.vms.iter().filter(|it| !it.is_cut).filter_map(|it| it.context.clone()).collect()
    }

    /// The state of one daemon.
    pub fn context(&self, index: usize) -> &Arc<Context> {
        self.vms[index].context.as_ref().expect("the daemon should run")
    }

    /// The state of one daemon, if it runs.
    pub fn try_context(&self, index: usize) -> Option<&Arc<Context>> {
        self.vms[index].context.as_ref()
    }

    /// The number of a daemon.
    pub fn index(&self, name: &str) -> usize {
        self.vms.iter().position(|it| it.name == name).expect("a known daemon")
    }

    /// The state of the daemon of this name, if it runs.
    pub fn named(&self, name: &str) -> Option<Arc<Context>> {
        self.vms[self.index(name)].context.clone()
    }

    /// A stream of the service begins at a daemon, at an upstream of this build.
    pub fn begin_stream(&mut self, index: usize, attempt: u64, build: &Build) {
        let context = self.context(index).clone();
        let service = name_hash(scene::SERVICE);
        let entry = origin::Entry { attempt, service, build: build.clone() };
        if !context.begin_stream(&Service::from(scene::SERVICE), &entry) {
            return;
        }
        for replica in
            self.reached_replicas(index, attempt).into_iter().take(exchange::origin::REPLICAS)
        {
            replica.origins().keep(&entry, replica.now());
        }
    }

    /// The daemons that calls about a stream's origin reach, in the order in which they are called.
    fn reached_replicas(&mut self, from: usize, attempt: u64) -> Vec<Arc<Context>> {
        let mut reached = Vec::new();
        for name in exchange::origin::candidates(self.context(from), attempt) {
            let vm = &self.vms[self.index(&name)];
            let is_cut = vm.is_cut || self.vms[from].is_cut;
            let replica = vm.context.clone().filter(|_| !is_cut);
            if self.rng.random::<f64>() >= self.loss {
                reached.extend(replica);
            }
        }
        reached
    }

    /// The build that began a stream, as a daemon knows where a caller takes it up.
    pub fn find_origin(&mut self, index: usize, attempt: u64) -> Option<Build> {
        let context = self.context(index).clone();
        let (view, service) = (context.view.load(), Service::from(scene::SERVICE));
        let (registered, hash) = (view.builds(&service), name_hash(scene::SERVICE));
        let found = context.origins().find(attempt, hash, registered, true, context.now());
        found.or_else(|| {
            let replicas = self.reached_replicas(index, attempt);
            replicas.iter().find_map(|it| it.origins().known(attempt, it.now()))
        })
    }

    /// What each daemon has sent and received since the last call.
    pub fn take_traffic(&mut self) -> Vec<Traffic> {
        self.vms.iter_mut().map(|it| std::mem::take(&mut it.traffic)).collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Lets time pass until a condition holds; returns how long that took, or `None` if `time` was
    /// not enough.
    pub fn run_until(
        &mut self,
        time: Duration,
        condition: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + time {
            self.step();
            if condition(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.clock.store(self.now.0, Ordering::Relaxed);
        let mut order: Vec<_> = (0..self.vms.len()).collect();
        order.shuffle(&mut self.rng);
        self.write_bars();
        self.deliver();
        for index in order {
            if self.vms[index].is_frozen {
                continue;
            }
            self.ask_store(index);
            self.plan(index);
            self.send_due(index);
            self.retry(index);
        }
    }

    /// Tries a daemon that seems to be gone.
    fn retry(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(context) = vm.context.clone() else { return };
        if self.now.since(vm.retried_at) < exchange::RETRY_INTERVAL {
            return;
        }
        vm.retried_at = self.now;
        if let Some((name, _)) = exchange::unresponsive(&context) {
            if self.links.is_some() {
                return self.begin_call(index, &context, &name, Link::Peer);
            }
            self.exchange(index, &context, &name, Link::Peer);
        }
    }

    /// Whether a daemon that is no watcher asks the store. Where messages take no time, it has to only for
    /// rows that are too large for them.
    fn asks_itself(&self, context: &Context, topic: Topic) -> bool {
        if self.links.is_some() {
            return follow::is_due(context, topic, Time::default(), AGE_JITTER);
        }
        let position = context.mirror.head(topic).map(|it| it.position);
        context.notices.get(topic, position).is_some()
    }

    /// Whether rows of the topic are on their way from the store to a daemon.
    fn is_asking(&self, index: usize, topic: Topic) -> bool {
        let Some(links) = &self.links else { return false };
        links.flows().any(|flow| match flow.payload {
            Payload::Rows { topic: asked, .. } => (flow.to, asked) == (index, topic),
            _ => false,
        })
    }

    /// A watcher's long poll returns at once if a row changed.
    fn ask_store(&mut self, index: usize) {
        let vm = &self.vms[index];
        let Some(context) = vm.context.clone().filter(|_| !vm.is_cut && self.store_answers) else {
            return;
        };
        let is_watcher = context.plan.load().is_watcher;
        let is_due = self.now.since(vm.asked_at) >= STORE_INTERVAL;
        for topic in Topic::FOLLOWED {
            if self.is_asking(index, topic) {
                continue;
            }
            if !is_watcher && !self.asks_itself(&context, topic) {
                continue;
            }
            let known = context.mirror.head(topic).map(|it| it.position);
            // A copy of an earlier era is read anew.
            let known = known.filter(|it| it.era == self.position.era).map(|it| it.version);
            let rows = self.rows[topic as usize].iter();
            let rows: Vec<_> = rows.filter(|it| known.is_none_or(|v| it.version > v)).collect();
            if rows.is_empty() && !is_due && is_watcher {
                continue;
            }
            let rows: Vec<_> = rows.into_iter().cloned().collect();
            if let Some(links) = &mut self.links {
                // The store's answer is in base64.
                let bytes = rows.iter().map(Row::bytes).sum::<usize>() as f64 * 4.0 / 3.0;
                let (after, position, asked_at) = (known, self.position, context.now());
                let payload = Payload::Rows { topic, rows, after, position, asked_at };
                links.send(Flow { from: None, to: index, bytes, payload });
                continue;
            }
            follow::apply(&context, topic, &rows, known, self.position, context.now());
        }
        if is_due && is_watcher {
            self.vms[index].asked_at = self.now;
        }
    }

    fn plan(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let Some(context) = &vm.context else { return };
        if now.since(vm.planned_at) < PLAN_INTERVAL {
            return;
        }
        vm.planned_at = now;
        exchange::update_plan(context);
        let is_running = |name: &str| vm.calls.get(name).is_some_and(|it| it.0 == Link::Peer);
        let wanted = exchange::peers_to_call(context, &is_running);
        vm.calls.retain(|name, (link, _)| {
            wanted.iter().any(|(it, _, wanted)| it == name && wanted == link)
        });
        for (name, _, link) in wanted {
            vm.calls.entry(name).or_insert((link, now));
        }
    }

    fn send_due(&mut self, index: usize) {
        let due = self.vms[index].calls.iter().filter(|(_, (_, at))| *at <= self.now);
        let due: Vec<_> = due.map(|(name, (link, _))| (name.clone(), *link)).collect();
        let Some(context) = self.vms[index].context.clone() else { return };
        for (name, link) in due {
            if self.links.is_some() {
                self.begin_call(index, &context, &name, link);
                continue;
            }
            let answered = self.exchange(index, &context, &name, link);
            let interval = match answered {
                true => exchange::interval(&context.plan.load(), link),
                false => {
                    context.peers.record_failure(&name, context.now());
                    self.vms[index].planned_at = Time::default();
                    TIMEOUT
                }
            };
            let interval = interval.mul_f64(self.rng.random_range(0.75..1.25));
            if let Some((_, at)) = self.vms[index].calls.get_mut(&name) {
                *at = self.now + interval;
            }
        }
    }

    fn exchange(&mut self, from: usize, context: &Context, to: &str, link: Link) -> bool {
        let request = exchange::compose(context, to, link);
        self.count(from, &request);
        self.vms[from].traffic.calls += 1;
        let Ok(to) = self.vms.binary_search_by(|it| it.name.as_str().cmp(to)) else {
            return false;
        };
        let (sender, receiver) = (&self.vms[from], &self.vms[to]);
        let is_cut =
            sender.is_cut || receiver.is_cut || receiver.is_frozen || sender.part != receiver.part;
        if is_cut || self.rng.random::<f64>() < self.loss {
            return false;
        }
        let Some(peer) = self.vms[to].context.clone() else { return false };
        exchange::take(&peer, &request);
        let response = exchange::compose(&peer, &request.from, link.reversed());
        self.count(to, &request);
        self.count(to, &response);
        self.vms[to].traffic.calls += 1;
        if self.rng.random::<f64>() < self.loss {
            return false;
        }
        self.count(from, &response);
        exchange::take(context, &response);
        true
    }

    /// Sends a message over links with a rate. The call stays open until it is answered or fails.
    fn begin_call(&mut self, from: usize, context: &Context, to: &str, link: Link) {
        let message = exchange::compose(context, to, link);
        self.count(from, &message);
        self.vms[from].traffic.calls += 1;
        if let Some((_, at)) = self.vms[from].calls.get_mut(to) {
            *at = Time(u64::MAX);
        }
        let (to, bytes) = (self.index(to), wire::to_bytes(&message).len());
        let payload = Payload::Request { message, sent_at: self.now };
        self.send(Flow { from: Some(from), to, bytes: bytes as f64, payload });
    }

    fn send(&mut self, flow: Flow<Payload>) {
        self.links.as_mut().expect("links with a rate").send(flow);
    }

    /// Lets what is on its way move on by a step, and calls fail that took too long.
    fn deliver(&mut self) {
        let Some(links) = &mut self.links else { return };
        let arrived = links.advance(STEP);
        let now = self.now;
        let late = links.remove(|flow| match &flow.payload {
            Payload::Request { sent_at, .. } | Payload::Response { sent_at, .. } => {
                now.since(*sent_at) >= TIMEOUT
            }
            Payload::Rows { .. } => false,
        });
        for flow in arrived {
            self.arrive(flow);
        }
        for flow in late {
            let (caller, called) = match flow.payload {
                Payload::Request { .. } => (flow.from, flow.to),
                Payload::Response { .. } => (Some(flow.to), flow.from.unwrap_or(flow.to)),
                Payload::Rows { .. } => continue,
            };
            let Some(caller) = caller else { continue };
            self.failed_calls += 1;
            let name = self.vms[called].name.clone();
            if let Some(context) = self.vms[caller].context.clone() {
                context.peers.record_failure(&name, context.now());
                self.vms[caller].planned_at = Time::default();
                self.end_call(caller, &context, &name);
            }
        }
    }

    /// The next message of a call is due after the usual interval.
    fn end_call(&mut self, caller: usize, context: &Context, called: &str) {
        let Some((link, _)) = self.vms[caller].calls.get(called).copied() else { return };
        let interval = exchange::interval(&context.plan.load(), link);
        let at = self.now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.vms[caller].calls.insert(called.to_owned(), (link, at));
    }

    fn arrive(&mut self, flow: Flow<Payload>) {
        let Some(context) = self.vms[flow.to].context.clone() else { return };
        match flow.payload {
            Payload::Rows { topic, rows, after, position, asked_at } => {
                follow::apply(&context, topic, &rows, after, position, asked_at);
            }
            Payload::Request { message, sent_at } => {
                exchange::take(&context, &message);
                let response = exchange::compose(&context, &message.from, message.link.reversed());
                self.count(flow.to, &message);
                self.count(flow.to, &response);
                self.vms[flow.to].traffic.calls += 1;
                let (to, bytes) = (self.index(&message.from), wire::to_bytes(&response).len());
                let payload = Payload::Response { message: response, sent_at };
                self.send(Flow { from: Some(flow.to), to, bytes: bytes as f64, payload });
            }
            Payload::Response { message, .. } => {
                self.count(flow.to, &message);
                exchange::take(&context, &message);
                self.end_call(flow.to, &context, &message.from);
            }
        }
    }

    fn count(&mut self, index: usize, message: &Message) {
        self.vms[index].traffic.bytes += wire::to_bytes(message).len() as u64;
    }
}

fn settings(name: &str, zone: usize, cpu_millis: u32) -> Settings {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    Settings {
        daemon: Daemon::from(name),
        zone: Zone::from(&*format!("zone-{zone}")),
        caller: address,
        peer: address,
        cpu_millis,
        is_first_start: false,
        revocation: Duration::from_secs(5),
        budget: budget::Limits { ratio: 0.2, extra: 430.0, window: Duration::from_secs(10) },
        quota: Some(TOLERANCE),
        order_gap: Duration::from_secs(3),
        weights_deadline: Duration::from_secs(12),
        steady_after: Duration::from_secs(5),
        load_share: 0.2,
        address_lifetime: Duration::from_secs(1),
        grace: Duration::from_secs(8),
        store_writes_per_s: 400.0,
        prefill_tokens_per_ms: 45.0,
    }
}
