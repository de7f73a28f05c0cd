//! Daemons, each in a runtime of its own, before a deployment of stand-ins.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use serde_json::{Value, json};
use tealturn::{
    catalog::{
        Credential, Instance, Limits, Target, Template,
        change::{Change, Edit, Id},
    },
    http::client::{self, Client},
    kernel::{context::Context, id::Revision},
    load::{
        caller::{Caller, Done},
        protocol::{Detail, Refusal},
        run,
        traffic::{Call, Kind, Profile},
    },
    platform::vm::{Entry, Role, State},
    serve::Controller,
    standin::deployment::{Deployment, Settings, VERSION},
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::{Mutex, MutexGuard, oneshot},
    time,
};
use tokio_util::sync::CancellationToken;

/// Longer than anything that is waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// How long callers keep an address list, in seconds.
const ADDRESS_LIFETIME_S: u64 = 1;

/// One fleet at a time: each takes many threads.
static TURN: Mutex<()> = Mutex::const_new(());

/// A running daemon. Its runtime ends with it, at once, as a process that is killed.
pub struct Daemon {
    pub context: Arc<Context>,
    stop: CancellationToken,
    ended: Option<oneshot::Receiver<()>>,
    runtime: Option<Runtime>,
}

/// Daemons before a deployment.
pub struct Fleet {
    pub deployment: Deployment,
    pub daemons: Vec<Daemon>,
    pub client: Client,
    pub profile: Profile,
    started: usize,
    stop: CancellationToken,
    _turn: MutexGuard<'static, ()>,
}

impl Daemon {
    /// Ends it without a word to anyone.
    pub fn kill(mut self) {
        self.runtime.take().expect("it runs").shutdown_background();
    }

    /// Asks it to stop, and waits until it has.
    pub async fn stop(mut self) {
        self.stop.cancel();
        let ended = self.ended.take().expect("it runs");
        time::timeout(PATIENCE, ended)
            .await
            .expect("a planned stop ends")
            .expect("it ended by itself");
        self.kill();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Fleet {
    /// Starts the stand-ins, and no daemon.
    pub async fn new() -> Fleet {
        let turn = TURN.lock().await;
        let stop = CancellationToken::new();
        let deployment = Deployment::start(&Settings::nortebraco(), stop.clone()).await;
        Fleet {
            deployment: deployment.expect("the stand-ins start"),
            daemons: Vec::new(),
            client: Client::new(),
            profile: Profile::nortebraco(),
            started: 0,
            stop,
            _turn: turn,
        }
    }

    /// Starts the stand-ins and daemons, with the configuration in force on all.
    pub async fn start(daemons: usize) -> Fleet {
        let mut fleet = Fleet::new().await;
        fleet.add(daemons).await;
        fleet.configure().await;
        fleet.until_ready().await;
        fleet
    }

    /// Starts more daemons, as VMs that were never there before.
    pub async fn add(&mut self, daemons: usize) {
        for _ in 0..daemons {
            let name = format!("daemon-{}", self.started);
            let zone = self.profile.zones[self.started % self.profile.zones.len()].clone();
            self.started += 1;
            let platform = self.deployment.platform.address();
            let listen = "127.0.0.1:0";
            let settings = json!({
                "deployment": self.profile.name,
                "daemon": name,
                "zone": zone,
                "listen": { "caller": listen, "peer": listen, "operator": listen },
                "platform": { "table": platform, "vms": platform },
                "address_lifetime_s": ADDRESS_LIFETIME_S,
            });
            let settings = serde_json::from_value(settings).expect("settings");
            let daemon = start(settings).await;
            let bound = daemon.context.bound_addrs;
            let role = Role::Daemon { peer: bound.peer };
            let (address, state) = (bound.caller, State::Live);
            self.deployment.platform.list_at_once(Entry { name, address, zone, role, state });
            self.daemons.push(daemon);
        }
    }

    /// Takes a daemon out of the fleet. It is listed until [`Fleet::unlist`].
    pub fn take(&mut self, place: usize) -> Daemon {
        self.daemons.remove(place)
    }

    /// Takes a daemon's VM from the list.
    pub fn unlist(&self, context: &Context) {
        self.deployment.platform.list(context.settings.daemon.as_str(), None);
    }

    /// Puts the configuration of the profile in force, as an operator does.
    pub async fn configure(&self) {
        let address = self.daemons[0].context.bound_addrs.operator;
        let change = change(&self.profile);
        let put = async {
            loop {
                let put = self.client.post::<_, Value>(address, "/v1/catalog/changes", &change);
                if put.await.is_ok() {
                    return;
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(PATIENCE, put).await.expect("an accepted change");
    }

    /// Waits until all daemons have the configuration and know all upstreams.
    pub async fn until_ready(&self) {
        let upstreams = self.deployment.engines.len() + self.deployment.plains.len() + 1;
        let is_ready = |it: &Context| {
            let directory = it.directory.load();
            let open = directory.upstreams().iter().filter(|it| it.is_open()).count();
            it.catalog.load().revision() == Revision(1) && open == upstreams
        };
        self.until("all daemons are ready", |it| is_ready(it)).await;
    }

    /// Waits until something is true of all daemons.
    pub async fn until(&self, what: &str, done: impl Fn(&Context) -> bool) {
        let wait = async {
            while !self.daemons.iter().all(|it| done(&it.context)) {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(PATIENCE, wait).await.expect(what);
    }

    /// Where the daemons listen for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|it| it.context.bound_addrs.caller).collect()
    }

    /// The deployment's usual calls for `seconds`, beside what else happens.
    pub fn load(&self, seconds: u64) -> impl Future<Output = run::Settings> + use<> {
        let settings = run::Settings {
            profile: self.profile.clone(),
            seed: 1,
            rate: 60.0,
            duration: Duration::from_secs(seconds),
            warmup: Duration::ZERO,
            shift: None,
            daemons: self.callers(),
            platform: self.deployment.platform.address(),
        };
        async { settings }
    }

    /// Sends a prompt of the first workspace to one daemon, as a caller that knows no other.
    pub async fn complete(&self, address: SocketAddr, prompt: &str) -> Done {
        let caller = Caller::new(self.profile.clone(), vec![address]);
        caller.call(&self.completion(prompt), 0).await
    }

    /// Sends a prompt of the first workspace once to a daemon that must refuse it.
    pub async fn refused(&self, address: SocketAddr, prompt: &str) -> Detail {
        let body = json!({ "model": self.profile.model, "prompt": prompt, "max_tokens": 8 });
        let body = body.to_string().into();
        let request = client::request("POST", address, "/v1/completions", body);
        let mut request = request.expect("a request");
        let credential = self.profile.credential(&self.profile.workspaces[0].workspace);
        let credential = format!("Bearer {credential}").parse().expect("ASCII");
        request.headers_mut().insert("authorization", credential);
        let answer = time::timeout(PATIENCE, self.client.send(address, request)).await;
        let answer = answer.expect("an answer in time").expect("an answer");
        assert!(!answer.response.status().is_success(), "it was served");
        let body = self.client.finish(answer).await.expect("a body");
        serde_json::from_slice::<Refusal>(&body).expect("a refusal").error
    }

    /// A call for a completion by the first workspace.
    pub fn completion(&self, prompt: &str) -> Call {
        Call {
            workspace: self.profile.workspaces[0].workspace.clone(),
            zone: self.profile.zones[0].clone(),
            kind: Kind::Completion { prompt: prompt.to_owned(), levels: Vec::new(), max_tokens: 8 },
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn start(settings: tealturn::settings::Settings) -> Daemon {
    let runtime =
        Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
    let controller = runtime.spawn(Controller::bind(settings)).await;
    let controller = controller.expect("it runs").expect("it binds");
    let context = controller.context.clone();
    let stop = CancellationToken::new();
    let (sender, ended) = oneshot::channel();
    let run = controller.run(stop.clone());
    runtime.spawn(async move {
        run.await;
        let _ = sender.send(());
    });
    Daemon { context, stop, ended: Some(ended), runtime: Some(runtime) }
}

/// A model and a service for each workspace of the profile.
fn change(profile: &Profile) -> Change {
    let limits = Limits { priority: 1, concurrency: 1_000, tokens_per_second: 10_000_000 };
    let model = Target::Model {
        model: profile.model.clone(),
        adapter: None,
        version: VERSION,
        billable: false,
    };
    let service = Target::Service { service: profile.service.clone() };
    let targets = [("model", model), ("service", service)];
    let mut edits = Vec::new();
    for (name, target) in targets {
        let (name, replicas) = (name.into(), 0);
        edits.push(Edit::PutTemplate(Template { name, target, limits, replicas }));
    }
    for share in &profile.workspaces {
        let workspace = &share.workspace;
        for template in ["model", "service"] {
            edits.push(Edit::PutInstance(Instance {
                workspace: workspace.clone(),
                template: template.into(),
                limits: None,
                version: None,
            }));
        }
        let credential = profile.credential(workspace);
        edits.push(Edit::PutCredential(Credential {
            digest: blake3::hash(credential.as_bytes()).to_hex().to_string(),
            workspace: workspace.clone(),
        }));
    }
    Change { id: Id(1), base: Revision(0), edits }
}
