//! The protocols of plain services and KV stores, against the stand-ins.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tealturn::{
    Error,
    http::client::{self, Client},
    kernel::id::{Incarnation, Model, Request, Version},
    prefix::{Chain, Hash, Salt},
    standin::{
        engine::{self, Engine},
        kv::{self, Store},
        ledger::Ledger,
        plain::{self, Echo, IDEMPOTENCY_KEY, Plain},
    },
    upstream::wire::{Completion, Export, Exported, Import, Imported},
};
use tokio::time;
use tokio_util::sync::CancellationToken;

const PATIENCE: Duration = Duration::from_secs(20);

/// How long an answer that should not come is waited for.
const SILENCE: Duration = Duration::from_millis(300);

struct Called {
    name: &'static str,
    faults: plain::Faults,
    /// Whether the call is answered.
    answered: bool,
    /// How often it is run.
    executions: u32,
}

#[tokio::test]
async fn calls_of_a_plain_service() {
    let cases = [
        Called {
            name: "answered",
            faults: plain::Faults::default(),
            answered: true,
            executions: 1,
        },
        Called {
            name: "down",
            faults: plain::Faults { down: true, ..plain::Faults::default() },
            answered: false,
            executions: 0,
        },
        Called {
            name: "the answer is lost",
            faults: plain::Faults { lose_answers: true, ..plain::Faults::default() },
            answered: false,
            executions: 1,
        },
    ];
    for case in cases {
        let stop = CancellationToken::new();
        let service = Plain::start(stop.clone()).await.expect("the call works");
        service.set_faults(case.faults);
        let client = Client::new();
        let call = call(&client, service.address(), "k1", b"one seat");
        let wait = if case.answered { PATIENCE } else { SILENCE };
        let answer = time::timeout(wait, call).await;
        let expected = Echo::new("POST", "/bookings?day=2", Some("k1"), b"one seat");
        let echo = answer.ok().and_then(Result::ok);
        assert_eq!(echo, case.answered.then_some(expected), "{}", case.name);
        assert_eq!(service.executed("k1"), case.executions, "{}", case.name);
        assert_eq!(service.executed("k2"), 0, "{}", case.name);
        stop.cancel();
    }
}

async fn call(
    client: &Client,
    address: SocketAddr,
    key: &str,
    body: &'static [u8],
) -> Result<Echo, Error> {
    let body = Bytes::from_static(body);
    let mut request = client::request("POST", address, "/bookings?day=2", body)?;
    let headers = request.headers_mut();
    headers.insert(IDEMPOTENCY_KEY, key.parse().expect("the call works"));
    let answer = client.fetch(address, request).await?;
    Ok(serde_json::from_slice(&answer).expect("the call works"))
}

struct Engines {
    client: Client,
    exporter: Arc<Engine>,
    importer: Arc<Engine>,
    store: Arc<Store>,
    completion: Completion,
}

impl Engines {
    /// Two engines, of which the first has a prompt in its cache.
    async fn new(stop: &CancellationToken) -> Engines {
        let store = Store::start(stop.clone()).await.expect("the call works");
        let ledger = Arc::new(Ledger::default());
        let model = Model::from("assistente");
        let settings = engine::Settings::new(model.clone(), Version(1), store.address());
        let exporter = Engine::start(settings.clone(), ledger.clone(), stop.clone());
        let importer = Engine::start(settings, ledger, stop.clone());
        let engines = Engines {
            client: Client::new(),
            exporter: exporter.await.expect("the call works"),
            importer: importer.await.expect("the call works"),
            store,
            completion: Completion {
                request_id: Request(1),
                model,
                adapter: None,
                version: Version(1),
                cache_salt: Salt("00".repeat(16)),
                prompt: "Renewal file. ".repeat(200),
                max_tokens: 1,
                priority: 1,
                stream: true,
                skip_tokens: 0,
            },
        };
        let body = Bytes::from(serde_json::to_vec(&engines.completion).expect("the call works"));
        let address = engines.exporter.address();
        let request =
            client::request("POST", address, "/v1/completions", body).expect("the call works");
        engines.client.fetch(address, request).await.expect("the call works");
        engines
    }

    fn chain(&self) -> Chain {
        let prompt = self.completion.prompt.as_bytes();
        Chain::new(&self.completion.cache_salt, prompt)
    }

    async fn export(&self) -> Result<Exported, Error> {
        let export = Export {
            blocks: self.chain().0,
            cache_salt: self.completion.cache_salt.clone(),
            store: self.store.address(),
        };
        let address = self.exporter.address();
        self.client.post(address, "/v1/kv/export", &export).await
    }
}

struct Imports {
    name: &'static str,
    change: fn(&mut Import),
    faults: kv::Faults,
    /// How many blocks are read, of 10; `None` if the import is refused.
    blocks: Option<u64>,
}

#[tokio::test]
async fn imports_of_cached_blocks() {
    let case =
        |name, change, blocks| Imports { name, change, faults: kv::Faults::default(), blocks };
    let cases = [
        case("all", |_| {}, Some(10)),
        case("of another run", |it| it.exporter = Incarnation(1), Some(0)),
        case("of another owner", |it| it.cache_salt = Salt("11".repeat(16)), Some(0)),
        case("of another version", |it| it.version = Version(2), None),
        case("of another model", |it| it.model = "other".into(), None),
        case("up to a gap", |it| it.blocks[4] = Hash(0), Some(4)),
        Imports {
            faults: kv::Faults { clear: true, ..kv::Faults::default() },
            ..case("from a store that lost them", |_| {}, Some(0))
        },
        Imports {
            faults: kv::Faults { down: true, ..kv::Faults::default() },
            ..case("from a store that is down", |_| {}, None)
        },
    ];
    for case in cases {
        let stop = CancellationToken::new();
        let engines = Engines::new(&stop).await;
        let exported = engines.export().await.expect("the call works");
        assert_eq!(exported.incarnation, engines.exporter.incarnation());
        assert_eq!(exported.blocks, 10, "{}", case.name);
        engines.store.set_faults(case.faults);
        let mut import = Import {
            blocks: engines.chain().0,
            cache_salt: engines.completion.cache_salt.clone(),
            model: engines.completion.model.clone(),
            version: Version(1),
            exporter: exported.incarnation,
            store: engines.store.address(),
        };
        (case.change)(&mut import);
        let address = engines.importer.address();
        let imported = engines.client.post(address, "/v1/kv/import", &import);
        let imported: Result<Imported, Error> = imported.await;
        let blocks = imported.ok().map(|it| it.blocks);
        assert_eq!(blocks, case.blocks, "{}", case.name);
        let held = engines.importer.cached_blocks(&engines.chain());
        assert_eq!(held as u64, case.blocks.unwrap_or(0), "{}", case.name);
        stop.cancel();
    }
}
