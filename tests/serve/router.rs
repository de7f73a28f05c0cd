//! Daemons in this process before a deployment of stand-ins.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use tealturn::{
    catalog::{
        Credential, Instance, Limits, Target, Template,
        change::{Change, Edit, Id},
    },
    http::client::{self, Answer, Client},
    kernel::{context::Context, id::Revision},
    request::refusal::{Detail, Document, Kind},
    serve::Controller,
    standin::{
        self,
        deployment::{Deployment, Settings, VERSION},
        engine::{Engine, Faults},
    },
    upstream::wire::Load,
};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Longer than anything that is waited for.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Daemons before a deployment. It ends with the value.
pub struct Router {
    pub deployment: Deployment,
    pub contexts: Vec<Arc<Context>>,
    pub client: Client,
    stop: CancellationToken,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answered {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The connection ended as HTTP says that it should.
    pub whole: bool,
}

impl Router {
    /// Starts daemons, and waits until each is ready and knows all upstreams.
    pub async fn start(daemons: usize) -> Router {
        let stop = CancellationToken::new();
        let settings = Settings { engines: 3, plains: 2, ..Settings::nortebraco() };
        let deployment = Deployment::start(&settings, stop.clone()).await;
        let deployment = deployment.expect("the stand-ins start");
        let mut contexts = Vec::new();
        for place in 0..daemons {
            let listen = "127.0.0.1:0";
            let platform = deployment.platform.address();
            let settings = json!({
                "deployment": "nortebraco",
                "daemon": format!("daemon-{place}"),
                "zone": "sala-a",
                "listen": { "caller": listen, "peer": listen, "operator": listen },
                "platform": { "table": platform, "vms": platform },
                "address_lifetime_s": 1,
            });
            let settings = serde_json::from_value(settings).expect("settings");
            let controller = Controller::bind(settings).await.expect("it binds");
            contexts.push(controller.context.clone());
            tokio::spawn(controller.run(stop.clone()));
        }
        let router = Router { deployment, contexts, client: Client::new(), stop };
        router.configure().await;
        let known = |it: &Arc<Context>| {
            let directory = it.directory.load();
            let alive = directory.upstreams().iter().filter(|it| it.is_open());
            alive.count() == 6 && it.ready.load(Ordering::Acquire)
        };
        router.until("all upstreams are known", || router.contexts.iter().all(known)).await;
        router
    }

    /// Puts the configuration in force, as an operator does.
    async fn configure(&self) {
        let address = self.contexts[0].bound_addrs.operator;
        let change = change();
        let put = async {
            loop {
                let path = "/v1/catalog/changes";
                let put = self.client.post::<_, Value>(address, path, &change);
                if put.await.is_ok() {
                    return;
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(PATIENCE, put).await.expect("an accepted change");
        let in_force = |it: &Arc<Context>| it.catalog.load().revision() == Revision(1);
        self.until("it is in force", || self.contexts.iter().all(in_force)).await;
    }

    /// Waits for something to become true.
    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        let wait = async {
            while !done() {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(PATIENCE, wait).await.expect(what);
    }

    pub fn caller(&self, daemon: usize) -> SocketAddr {
        self.contexts[daemon].bound_addrs.caller
    }

    /// Sends a request and returns its answer unread.
    pub async fn open(
        &self,
        daemon: usize,
        path: &str,
        workspace: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Answer {
        let address = self.caller(daemon);
        let mut request = client::request("POST", address, path, body.into()).expect("valid");
        let credential = format!("Bearer secret-{workspace}");
        let headers = request.headers_mut();
        headers.insert("authorization", credential.parse().expect("ASCII"));
        if let Some(key) = key {
            headers.insert("idempotency-key", key.parse().expect("ASCII"));
        }
        let sent = time::timeout(PATIENCE, self.client.send_fresh(address, request)).await;
        sent.expect("an answer in time").expect("an answer")
    }

    /// Sends a request and reads its whole answer.
    pub async fn ask(
        &self,
        daemon: usize,
        path: &str,
        workspace: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Answered {
        read(self.open(daemon, path, workspace, key, body).await).await
    }

    /// Asks for a streamed completion.
    pub async fn complete(
        &self,
        daemon: usize,
        workspace: &str,
        key: Option<&str>,
        prompt: &str,
    ) -> Answered {
        let body = completion(prompt);
        self.ask(daemon, "/v1/completions", workspace, key, body).await
    }

    /// Makes all engines slow: a step takes 4 ms times `percent`.
    pub fn slow(&self, percent: u32) {
        for engine in &self.deployment.engines {
            engine.set_faults(Faults { slow_percent: percent, ..Faults::default() });
        }
    }

    /// Asks again with a key until its result is known.
    pub async fn settled(
        &self,
        daemon: usize,
        path: &str,
        workspace: &str,
        key: &str,
        body: &str,
    ) -> Answered {
        let asks = async {
            loop {
                let body = body.to_owned();
                let answered = self.ask(daemon, path, workspace, Some(key), body).await;
                let unsettled = |it: Detail| it.kind == Kind::Unsettled;
                if !answered.refusal().is_some_and(unsettled) {
                    return answered;
                }
            }
        };
        time::timeout(PATIENCE, asks).await.expect("a known result")
    }

    /// Asks for a completion, which must not be refused, and tells which engine runs it.
    pub async fn run(&self, workspace: &str, key: &str, prompt: &str) -> (Answer, &Arc<Engine>) {
        let body = completion(prompt);
        let answer = self.open(0, "/v1/completions", workspace, Some(key), body).await;
        if !answer.response.status().is_success() {
            panic!("the first request was refused: {:?}", read(answer).await.refusal());
        }
        let busy = time::timeout(PATIENCE, self.busy()).await;
        (answer, busy.expect("a request in progress"))
    }

    /// The engine that runs a request now.
    async fn busy(&self) -> &Arc<Engine> {
        loop {
            for engine in &self.deployment.engines {
                if self.load(engine).await.running > 0 {
                    return engine;
                }
            }
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// What an engine reports.
    pub async fn load(&self, engine: &Engine) -> Load {
        let load = self.client.get(engine.address(), "/v1/load").await;
        load.expect("a load report")
    }

    /// Waits until no daemon has a request in progress or waiting.
    pub async fn idle(&self) {
        let idle = |it: &Arc<Context>| {
            let admission = it.serving.admission();
            admission.running() + admission.waiting() == 0
        };
        self.until("all slots are released", || self.contexts.iter().all(idle)).await;
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Answered {
    /// The text of a streamed answer, and whether it ended whole.
    pub fn stream(&self) -> (String, bool) {
        let (mut text, mut done) = (String::new(), false);
        for line in self.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).expect("JSON");
            text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        }
        (text, done)
    }

    /// The refusal, as the whole answer or as its last event.
    pub fn refusal(&self) -> Option<Detail> {
        if !self.status.is_success() {
            let document = serde_json::from_slice::<Document>(&self.body);
            return Some(document.expect("a refusal").error);
        }
        let mut lines = self.lines().skip_while(|it| *it != "event: error");
        lines.next()?;
        let data = lines.next()?.strip_prefix("data: ")?;
        let document = serde_json::from_str::<Document>(data).expect("a refusal");
        Some(document.error)
    }

    fn lines(&self) -> impl Iterator<Item = &str> {
        std::str::from_utf8(&self.body).expect("UTF-8").lines()
    }
}

/// Reads an answer to its end.
pub async fn read(answer: Answer) -> Answered {
    let (head, mut body) = answer.response.into_parts();
    let (mut bytes, mut whole) = (Vec::new(), true);
    while let Some(frame) = time::timeout(PATIENCE, body.frame()).await.expect("in time") {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().expect("data")),
            Err(_) => whole = false,
        }
        if !whole {
            break;
        }
    }
    Answered { status: head.status, headers: head.headers, body: bytes.into(), whole }
}

/// Tokens of the answers that are asked for.
pub const TOKENS: u32 = 64;

/// The body of a request for a streamed completion.
pub fn completion(prompt: &str) -> String {
    let body = json!({
        "model": "assistente",
        "prompt": prompt,
        "max_tokens": TOKENS,
        "stream": true,
    });
    body.to_string()
}

/// The right answer to [`completion`].
pub fn expected(prompt: &str) -> String {
    standin::answer::Answer::new(prompt).text(0, u64::from(TOKENS))
}

/// The workspace `notary` gets completions that may be repeated, `clinic` billable ones; both
/// have the plain service.
fn change() -> Change {
    let limits = Limits { priority: 1, concurrency: 1_000, tokens_per_second: 10_000_000 };
    let model = |billable| Target::Model {
        model: "assistente".into(),
        adapter: None,
        version: VERSION,
        billable,
    };
    let service = Target::Service { service: "wiki-app".into() };
    let targets = [("tags", model(false)), ("answers", model(true)), ("pages", service)];
    let templates =
        targets.map(|(name, target)| Template { name: name.into(), target, limits, replicas: 0 });
    let instances =
        [("notary", "tags"), ("notary", "pages"), ("clinic", "answers"), ("clinic", "pages")];
    let instances = instances.map(|(workspace, template)| Instance {
        workspace: workspace.into(),
        template: template.into(),
        limits: None,
        version: None,
    });
    let credentials = ["notary", "clinic"].map(|workspace| Credential {
        digest: blake3::hash(format!("secret-{workspace}").as_bytes()).to_hex().to_string(),
        workspace: workspace.into(),
    });
    let templates = templates.into_iter().map(Edit::PutTemplate);
    let instances = instances.into_iter().map(Edit::PutInstance);
    let credentials = credentials.into_iter().map(Edit::PutCredential);
    Change {
        id: Id(1),
        base: Revision(0),
        edits: templates.chain(instances).chain(credentials).collect(),
    }
}
