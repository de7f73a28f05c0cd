//! The protocol of the engines (`upstream::wire`), against the stand-in or, without the cases
//! that need a fault, against the engine at `TEALTURN_ENGINE` (`IP:PORT`), which must have
//! model `assistente`, version 1, loaded.

use std::{env, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use tealturn::{
    Error,
    http::client::{self, Client},
    kernel::id::{Adapter, Incarnation, Model, Request, Version},
    prefix::{BLOCK_BYTES, Chain, Salt},
    standin::{
        answer::Answer,
        engine::{Engine, Faults, Settings},
        ledger::Ledger,
        platform::{Platform, weights::Speed},
    },
    upstream::wire::{
        Change, Chunk, Completion, Events, Finish, Load, Order, Refusal, Role, State, Weights,
    },
};
use tokio::time;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Far more than any step takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a stream that should be silent is watched.
const SILENCE: Duration = Duration::from_millis(300);

struct Bench {
    client: Client,
    address: SocketAddr,
    standin: Option<Standin>,
}

struct Standin {
    engine: Arc<Engine>,
    platform: Arc<Platform>,
    ledger: Arc<Ledger>,
    _stop: DropGuard,
}

impl Bench {
    async fn new(change: impl Fn(&mut Settings)) -> Bench {
        let stop = CancellationToken::new();
        let ledger = Arc::new(Ledger::default());
        let speed = Speed { load: Duration::from_millis(40), at_once: 2 };
        let platform = Platform::start(speed, ledger.clone(), stop.clone());
        let platform = platform.await.expect("the call works");
        let mut settings = Settings::new("assistente".into(), Version(1), platform.address());
        change(&mut settings);
        let engine = Engine::start(settings, ledger.clone(), stop.clone());
        let engine = engine.await.expect("the call works");
        Bench {
            client: Client::new(),
            address: engine.address(),
            standin: Some(Standin { engine, platform, ledger, _stop: stop.drop_guard() }),
        }
    }

    async fn foreign_or_new() -> Bench {
        let Ok(address) = env::var("TEALTURN_ENGINE") else {
            return Bench::new(|_| {}).await;
        };
        Bench {
            client: Client::new(),
            address: address.parse().expect("the call works"),
            standin: None,
        }
    }

    fn engine(&self) -> &Arc<Engine> {
        &self.standin.as_ref().expect("the call works").engine
    }

    async fn open(&self, completion: &Completion) -> Result<Stream, Refused> {
        let body = Bytes::from(serde_json::to_vec(completion).expect("the call works"));
        let request =
            client::request("POST", self.address, "/v1/completions", body).expect("the call works");
        self.send(request).await
    }

    async fn resume(&self, id: Request, offset: u64) -> Result<Stream, Refused> {
        let path = format!("/v1/streams/{id}?offset={offset}");
        let request =
            client::request("GET", self.address, &path, Bytes::new()).expect("the call works");
        self.send(request).await
    }

    async fn send(
        &self,
        request: http::Request<http_body_util::Full<Bytes>>,
    ) -> Result<Stream, Refused> {
        let answer = time::timeout(PATIENCE, self.client.send(self.address, request));
        let answer = answer.await.expect("the call works").expect("the call works");
        let status = answer.response.status().as_u16();
        if status == 200 {
            return Ok(Stream { answer, buffer: Vec::new() });
        }
        let body = self.client.finish(answer).await.expect("the call works");
        let refusal: Refusal = serde_json::from_slice(&body).expect("the call works");
        Err(Refused { status, refusal })
    }

    async fn whole(&self, completion: &Completion) -> Vec<Chunk> {
        let mut stream = self.open(completion).await.expect("the call works");
        stream.rest().await.expect("the call works")
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        self.client.get(self.address, path).await.expect("the call works")
    }

    async fn order(&self, order: &Order) -> Result<State, Error> {
        self.client.post(self.address, "/v1/orders", order).await
    }

    /// Waits until the stand-in's state is as wanted.
    async fn until(&self, wanted: impl Fn(&State) -> bool) {
        let engine = self.engine();
        let reached = async {
            while !wanted(&engine.state()) {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(PATIENCE, reached).await.expect("the call works");
    }
}

#[derive(Debug)]
struct Refused {
    status: u16,
    refusal: Refusal,
}

struct Stream {
    answer: client::Answer,
    buffer: Vec<u8>,
}

impl Stream {
    /// The next event's data; `None` at the end of the connection or when it broke.
    async fn event(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\n\n") {
                let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
                let text = String::from_utf8(event).expect("the call works");
                return Some(
                    text.trim().strip_prefix("data: ").expect("the call works").to_owned(),
                );
            }
            let frame = self.answer.response.body_mut().frame();
            let frame = time::timeout(PATIENCE, frame).await.expect("the call works")?.ok()?;
            self.buffer.extend_from_slice(frame.data_ref().expect("the call works"));
        }
    }

    async fn chunk(&mut self) -> Chunk {
        serde_json::from_str(&self.event().await.expect("the call works")).expect("the call works")
    }

    /// The chunks up to the end mark; `None` if it does not come.
    async fn rest(&mut self) -> Option<Vec<Chunk>> {
        let mut chunks = Vec::new();
        loop {
            let event = self.event().await?;
            if event == "[DONE]" {
                return Some(chunks);
            }
            chunks.push(serde_json::from_str(&event).expect("the call works"));
        }
    }
}

fn completion(id: u128) -> Completion {
    Completion {
        request_id: Request(id),
        model: "assistente".into(),
        adapter: None,
        version: Version(1),
        cache_salt: Salt("00".repeat(16)),
        prompt: "Tag this page. ".repeat(100),
        max_tokens: 6,
        priority: 1,
        stream: true,
        skip_tokens: 0,
    }
}

fn weights(version: u64) -> Weights {
    Weights { model: "assistente".into(), version: Version(version), adapters: Vec::new() }
}

fn order(fence: u64, versions: &[u64]) -> Order {
    Order { fence, weights: versions.iter().map(|it| weights(*it)).collect(), role: Role::Serve }
}

/// Asserts that the chunks are the answer's tokens from `offset` to the end, each once.
fn assert_answer(name: &str, completion: &Completion, offset: u64, chunks: &[Chunk]) {
    let mut text = String::new();
    let mut next = offset;
    for chunk in chunks {
        assert_eq!(chunk.id, completion.request_id, "{name}");
        assert_eq!(chunk.version, completion.version, "{name}");
        assert_eq!(chunk.offset, next, "{name}");
        for choice in &chunk.choices {
            text.push_str(&choice.text);
            next += u64::from(choice.tokens);
        }
    }
    let count = u64::from(completion.max_tokens) - offset;
    let expected = Answer::new(&completion.prompt).text(offset, count);
    assert_eq!(text, expected, "{name}");
    let last = chunks.last().expect("the call works");
    assert_eq!(last.choices[0].finish_reason, Some(Finish::Length), "{name}");
    let usage = last.usage.expect("the call works");
    assert_eq!(usage.completion_tokens, u64::from(completion.max_tokens));
    let tokens = completion.prompt.len().div_ceil(4) as u64;
    assert_eq!(usage.prompt_tokens, tokens, "{name}");
}

enum Expected {
    Whole,
    Refused(u16, &'static str),
    Cut,
}

struct Case {
    name: &'static str,
    fault: Option<fn(&mut Faults)>,
    change: fn(&mut Completion),
    expected: Expected,
}

#[tokio::test]
async fn completions() {
    let cases = [
        Case { name: "a whole answer", fault: None, change: |_| {}, expected: Expected::Whole },
        Case {
            name: "the rest of an answer",
            fault: None,
            change: |it| it.skip_tokens = 4,
            expected: Expected::Whole,
        },
        Case {
            name: "another model",
            fault: None,
            change: |it| it.model = Model::from("other"),
            expected: Expected::Refused(409, "mismatch"),
        },
        Case {
            name: "another version",
            fault: None,
            change: |it| it.version = Version(2),
            expected: Expected::Refused(409, "mismatch"),
        },
        Case {
            name: "another adapter",
            fault: None,
            change: |it| it.adapter = Some(Adapter::from("other")),
            expected: Expected::Refused(409, "mismatch"),
        },
        Case {
            name: "no prompt",
            fault: None,
            change: |it| it.prompt.clear(),
            expected: Expected::Refused(400, "invalid"),
        },
        Case {
            name: "nothing left of the answer",
            fault: None,
            change: |it| it.skip_tokens = 6,
            expected: Expected::Refused(400, "invalid"),
        },
        Case {
            name: "a leaving engine",
            fault: Some(|it| it.leaving = true),
            change: |_| {},
            expected: Expected::Refused(503, "leaving"),
        },
        Case {
            name: "a slow engine",
            fault: Some(|it| it.slow_percent = 300),
            change: |_| {},
            expected: Expected::Whole,
        },
        Case {
            name: "a prompt that crashes the engine",
            fault: Some(|it| it.poison = Some("page".to_owned())),
            change: |_| {},
            expected: Expected::Cut,
        },
    ];
    for (place, case) in cases.iter().enumerate() {
        let bench = Bench::foreign_or_new().await;
        match (&bench.standin, case.fault) {
            (Some(standin), Some(fault)) => {
                let mut faults = Faults::default();
                fault(&mut faults);
                standin.engine.set_faults(faults);
            }
            (None, Some(_)) => continue,
            (_, None) => {}
        }
        let mut completion = completion(place as u128 + 1);
        (case.change)(&mut completion);
        let opened = bench.open(&completion).await;
        match (&case.expected, opened) {
            (Expected::Whole, Ok(mut stream)) => {
                let chunks = stream.rest().await.expect("the call works");
                assert_answer(case.name, &completion, completion.skip_tokens, &chunks);
            }
            (Expected::Cut, Ok(mut stream)) => {
                assert!(stream.rest().await.is_none(), "{}", case.name);
            }
            (Expected::Refused(status, code), Err(refused)) => {
                assert_eq!(refused.status, *status, "{}", case.name);
                assert_eq!(refused.refusal.code, *code, "{}", case.name);
                if let Some(standin) = &bench.standin {
                    assert_eq!(standin.ledger.runs(&completion.prompt), 0, "{}", case.name);
                }
            }
            (_, Ok(_)) => panic!("{}: not refused", case.name),
            (_, Err(refused)) => panic!("{}: {refused:?}", case.name),
        }
    }
}

#[tokio::test]
async fn a_stream_resumes_at_any_offset_and_can_be_cancelled() {
    let bench = Bench::foreign_or_new().await;
    let completion = completion(1);
    let mut stream = bench.open(&completion).await.expect("the call works");
    stream.chunk().await;
    drop(stream);
    for offset in [0, 1, 5] {
        let mut rest = bench.resume(completion.request_id, offset).await.expect("the call works");
        let chunks = rest.rest().await.expect("the call works");
        assert_answer("resumed", &completion, offset, &chunks);
    }
    let unknown = bench.resume(Request(99), 0).await.err().expect("the call works");
    assert_eq!(unknown.status, 404);
    assert_eq!(unknown.refusal.code, "unknown_stream");

    let long = Completion { request_id: Request(2), max_tokens: 10_000, ..completion };
    let mut stream = bench.open(&long).await.expect("the call works");
    stream.chunk().await;
    let path = format!("/v1/streams/{}", long.request_id);
    let cancel =
        client::request("DELETE", bench.address, &path, Bytes::new()).expect("the call works");
    bench.client.fetch(bench.address, cancel).await.expect("the call works");
    let rest = stream.rest().await.expect("the call works");
    let finish = rest.last().expect("the call works").choices[0].finish_reason;
    assert_eq!(finish, Some(Finish::Cancelled));
}

#[tokio::test]
async fn a_prefix_is_cached_for_its_salt_until_a_crash() {
    let bench = Bench::new(|_| {}).await;
    let cached = |chunks: Vec<Chunk>| {
        chunks.last().expect("the call works").usage.expect("the call works").cached_tokens
    };
    let first = completion(1);
    assert_eq!(cached(bench.whole(&first).await), 0);
    let again = completion(2);
    let blocks = again.prompt.len() / BLOCK_BYTES;
    assert_eq!(cached(bench.whole(&again).await), blocks as u64 * 64);
    let other = Completion { cache_salt: Salt("11".repeat(16)), ..completion(3) };
    assert_eq!(cached(bench.whole(&other).await), 0);

    let before = bench.engine().incarnation();
    bench.engine().set_faults(Faults { crash: true, restart_ms: 20, ..Faults::default() });
    bench.until(|it| it.incarnation > before && !it.loaded.is_empty()).await;
    bench.client.forget(bench.address);
    let lost = bench.resume(first.request_id, 0).await.err().expect("the call works");
    assert_eq!(lost.status, 404);
    assert!(lost.refusal.incarnation > before);
    let chunks = bench.whole(&completion(4)).await;
    assert_eq!(chunks[0].incarnation, lost.refusal.incarnation);
    assert_eq!(cached(chunks), 0);
}

#[tokio::test]
async fn open_connections_go_silent_and_new_ones_resume() {
    let bench = Bench::new(|_| {}).await;
    let long = Completion { max_tokens: 200, ..completion(1) };
    let mut stream = bench.open(&long).await.expect("the call works");
    stream.chunk().await;
    bench.engine().set_faults(Faults { silence: true, ..Faults::default() });
    // What was under way may still arrive; then nothing does, not even the end.
    while let Ok(event) = time::timeout(SILENCE, stream.event()).await {
        assert!(event.is_some(), "the stream ended");
    }
    bench.client.forget(bench.address);
    let mut rest = bench.resume(long.request_id, 7).await.expect("the call works");
    assert_answer("resumed", &long, 7, &rest.rest().await.expect("the call works"));
}

#[tokio::test]
async fn a_higher_priority_is_served_first() {
    let bench = Bench::new(|it| it.speed.batch = 1).await;
    let busy = Completion { max_tokens: 40, ..completion(1) };
    let mut busy = bench.open(&busy).await.expect("the call works");
    busy.chunk().await;
    let low = completion(2);
    let high =
        Completion { priority: 9, prompt: "Is the medical valid?".to_owned(), ..completion(3) };
    let mut low = bench.open(&low).await.expect("the call works");
    let mut high = bench.open(&high).await.expect("the call works");
    let (mut first, mut second) = (false, false);
    tokio::select! {
        _ = high.rest() => first = true,
        _ = low.rest() => second = true,
    }
    assert!(first && !second);
}

struct Stored {
    name: &'static str,
    faults: Faults,
    /// Whether the events name the blocks that were stored.
    right: bool,
    /// Whether there are any.
    any: bool,
}

#[tokio::test]
async fn cache_events() {
    let at_once = Faults { event_delay_ms: 0, event_drop_percent: 0, ..Faults::default() };
    let cases = [
        Stored { name: "right", faults: at_once.clone(), right: true, any: true },
        Stored {
            name: "late",
            faults: Faults { event_delay_ms: 60_000, ..at_once.clone() },
            right: false,
            any: false,
        },
        Stored {
            name: "lost",
            faults: Faults { event_drop_percent: 100, ..at_once.clone() },
            right: false,
            any: false,
        },
        Stored {
            name: "wrong",
            faults: Faults { event_wrong_percent: 100, ..at_once },
            right: false,
            any: true,
        },
    ];
    for case in cases {
        let bench = Bench::new(|_| {}).await;
        bench.engine().set_faults(case.faults);
        let completion = completion(1);
        bench.whole(&completion).await;
        let chain = Chain::new(&completion.cache_salt, completion.prompt.as_bytes());
        let events: Events = bench.get("/v1/events?after=0").await;
        let mut stored = Vec::new();
        for event in &events.events {
            if let Change::Stored(hashes) = &event.change {
                stored.extend(hashes.iter().copied());
            }
        }
        assert_eq!(!stored.is_empty(), case.any, "{}", case.name);
        assert_eq!(stored == chain.0, case.right, "{}", case.name);
        let last = events.events.last().map_or(0, |it| it.seq);
        let later: Events = bench.get(&format!("/v1/events?after={last}")).await;
        let repeated = later.events.iter().any(|it| it.seq <= last);
        assert!(!repeated, "{}", case.name);
    }
}

struct Ordered {
    name: &'static str,
    fenced: bool,
    refuses: bool,
    fences: [u64; 2],
    /// Whether the second order is taken.
    taken: bool,
}

#[tokio::test]
async fn orders() {
    let case =
        |name, fenced, refuses, fences, taken| Ordered { name, fenced, refuses, fences, taken };
    let cases = [
        case("a newer order", true, false, [5, 6], true),
        case("an order of the same holder", true, false, [5, 5], true),
        case("an old order", true, false, [5, 4], false),
        case("an old order, not checked", false, false, [5, 4], true),
        case("an engine that refuses", true, true, [5, 6], false),
    ];
    for Ordered { name, fenced, refuses, fences, taken } in cases {
        let bench = Bench::new(|it| it.fenced = fenced).await;
        bench.order(&order(fences[0], &[1, 2])).await.expect("the call works");
        bench.until(|it| it.loaded.len() == 2).await;
        bench.engine().set_faults(Faults { refuse_orders: refuses, ..Faults::default() });
        let answer = bench.order(&order(fences[1], &[3])).await;
        assert_eq!(answer.is_ok(), taken, "{name}");
        if !taken {
            let state: State = bench.get("/v1/state").await;
            assert_eq!(state.loaded, [weights(1), weights(2)], "{name}");
            continue;
        }
        bench.until(|it| it.loaded == [weights(3)]).await;
        let calls = bench.standin.as_ref().expect("the call works").platform.calls();
        let state = bench.order(&order(fences[1], &[3])).await.expect("the call works");
        assert!(state.loading.is_empty(), "{name}: repeated");
        let later = bench.standin.as_ref().expect("the call works").platform.calls();
        assert_eq!(calls.weights, later.weights, "{name}: repeated");
    }
}

#[tokio::test]
async fn load_reports_lag() {
    let bench = Bench::new(|_| {}).await;
    bench.engine().set_faults(Faults { load_lag_ms: 600_000, ..Faults::default() });
    let idle: Load = bench.get("/v1/load").await;
    let long = Completion { max_tokens: 10_000, ..completion(1) };
    let mut stream = bench.open(&long).await.expect("the call works");
    stream.chunk().await;
    let stale: Load = bench.get("/v1/load").await;
    assert_eq!((idle.running, stale.running), (0, 0));
    assert!(stale.age_ms >= idle.age_ms);
    bench.engine().set_faults(Faults { load_lag_ms: 0, ..Faults::default() });
    let fresh = async {
        loop {
            let load: Load = bench.get("/v1/load").await;
            if load.running == 1 {
                return load;
            }
        }
    };
    let fresh = time::timeout(PATIENCE, fresh).await.expect("the call works");
    assert_eq!(fresh.incarnation, bench.engine().incarnation());
    assert_ne!(fresh.incarnation, Incarnation(0));
}
