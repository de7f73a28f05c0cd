//! Bad input from callers, over real sockets: a typed error, and nothing lost for others.

use crate::router::{PATIENCE, Router, completion, expected};
use serde_json::Value;
use tealturn::{
    request::refusal::{Execution, Kind},
    serve::{caller::MAX_BODY_BYTES, state::BODIES_BYTES},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// What is written to a fresh connection.
struct Case {
    name: &'static str,
    /// The request's head without its host and credential.
    head: &'static str,
    body: Vec<u8>,
    credential: &'static str,
    status: u16,
    /// What the error says; none if the request can't be told from noise.
    kind: Option<Kind>,
}

const POST: &str = "POST /v1/completions HTTP/1.1\r\n";

fn case(name: &'static str, body: impl Into<Vec<u8>>) -> Case {
    Case {
        name,
        head: POST,
        body: body.into(),
        credential: "Bearer secret-notary",
        status: 400,
        kind: Some(Kind::InvalidRequest),
    }
}

fn cases() -> Vec<Case> {
    let other = |status, kind, case: Case| Case { status, kind: Some(kind), ..case };
    let good = completion("page");
    let changed = |from: &str, to: &str| completion("page").replace(from, to);
    let levels = format!("\"levels\":[{}1],\"model\"", "1,".repeat(20));
    vec![
        case("not JSON", "{\"model\": assistente}"),
        case("empty", ""),
        case("not UTF-8", [&b"{\"model\":\""[..], &[0xff, 0xfe]].concat()),
        case("another shape", "[1, 2]"),
        case("no prompt", "{\"model\":\"assistente\",\"max_tokens\":1}"),
        case("an empty prompt", changed("\"page\"", "\"\"")),
        case("no tokens", changed("64", "0")),
        case("too many tokens", changed("64", "99999999")),
        case("negative tokens", changed("64", "-1")),
        case("too many levels", changed("\"model\"", &levels)),
        case(
            "a deadline past all bounds",
            changed("\"model\"", "\"deadline_ms\":99999999999,\"model\""),
        ),
        case("nested too deep", "[".repeat(100_000)),
        other(413, Kind::TooLarge, case("over-long", vec![b' '; MAX_BODY_BYTES + 1])),
        other(404, Kind::UnknownModel, case("unknown model", changed("assistente", "nobody"))),
        other(
            401,
            Kind::Unauthorized,
            Case { credential: "Bearer nobody", ..case("unknown credential", good.clone()) },
        ),
        other(
            401,
            Kind::Unauthorized,
            Case { credential: "Basic c2VjcmV0", ..case("another scheme", good.clone()) },
        ),
        other(
            404,
            Kind::UnknownService,
            Case { head: "GET /s/nothing/x HTTP/1.1\r\n", ..case("unknown service", "") },
        ),
        other(
            400,
            Kind::KeyMissing,
            Case { head: "POST /s/wiki-app/x HTTP/1.1\r\n", ..case("no key for a filing", "fee") },
        ),
        Case {
            head: "POST /s/wiki-app/x HTTP/1.1\r\nidempotency-key: a b\r\n",
            ..case("a key with a space", "fee")
        },
        Case {
            head: "GET /nowhere HTTP/1.1\r\n",
            status: 404,
            kind: None,
            ..case("no such page", "")
        },
        Case { head: "NONSENSE\r\n", kind: None, ..case("no HTTP", "") },
    ]
}

/// Writes a request, and reads its answer to the connection's end.
async fn exchange(router: &Router, head: &str, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(router.caller(0)).await.expect("it listens");
    // The daemon may answer and close before it has read all.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = time::timeout(PATIENCE, read).await.expect("an answer in time");
    let answer = String::from_utf8(answer).expect("UTF-8");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    (status.unwrap_or(0), body.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_typed_error() {
    let router = Router::start(1).await;
    for case in cases() {
        let head = format!(
            "{}host: x\r\nconnection: close\r\nauthorization: {}\r\ncontent-length: {}\r\n\r\n",
            case.head,
            case.credential,
            case.body.len()
        );
        let (status, body) = exchange(&router, &head, &case.body).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        let Some(kind) = case.kind else { continue };
        let error: Value = serde_json::from_str(&body).expect(case.name);
        let run = serde_json::to_value(Execution::NotRun).expect("JSON");
        let kind = serde_json::to_value(kind).expect("JSON");
        assert_eq!(error["error"]["type"], kind, "{}", case.name);
        assert_eq!(error["error"]["run"], run, "{}", case.name);
    }
    assert_eq!(router.deployment.ledger.totals().executions, 0);
    others_are_served(&router).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_headers_are_refused() {
    let router = Router::start(1).await;
    let many = "x-filler: 1\r\n".repeat(200);
    let long = format!("x-filler: {}\r\n", "1".repeat(64 * 1024));
    for headers in [many, long] {
        let head = format!("{POST}host: x\r\n{headers}content-length: 0\r\n\r\n");
        let (status, _) = exchange(&router, &head, b"").await;
        assert_eq!(status, 431);
    }
    others_are_served(&router).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn senders_that_stop_do_not_hold_others_up() {
    let router = Router::start(1).await;
    let credential = "authorization: Bearer secret-notary\r\n";
    let head = format!("{POST}host: x\r\n{credential}content-length: 1000\r\n\r\n");
    let mut stopped = Vec::new();
    for start in ["", "POST /v1/comp", &head, &format!("{head}{{\"model\"")] {
        for _ in 0..50 {
            let mut stream = TcpStream::connect(router.caller(0)).await.expect("it listens");
            stream.write_all(start.as_bytes()).await.expect("written");
            stopped.push(stream);
        }
    }
    others_are_served(&router).await;
    router.idle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_take_bounded_memory() {
    let router = Router::start(1).await;
    let body = vec![b' '; MAX_BODY_BYTES - 1];
    let head = format!(
        "{POST}host: x\r\nauthorization: Bearer secret-notary\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let free = || router.contexts[0].serving.bodies.available_permits();
    let all = BODIES_BYTES / MAX_BODY_BYTES;
    let mut stopped = Vec::new();
    for count in 1..=all {
        let mut stream = TcpStream::connect(router.caller(0)).await.expect("it listens");
        stream.write_all(head.as_bytes()).await.expect("written");
        stream.write_all(&body).await.expect("written");
        stopped.push(stream);
        let taken = || free() == (all - count) * MAX_BODY_BYTES / 1024;
        router.until("the memory is taken", taken).await;
    }
    let refused = router.complete(0, "notary", None, "page").await;
    let refusal = refused.refusal().expect("a refusal");
    assert_eq!(refusal.kind, Kind::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
    drop(stopped);
    let all = || free() == BODIES_BYTES / 1024;
    router.until("all memory is given back", all).await;
    others_are_served(&router).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_cut_off_runs_nothing() {
    let router = Router::start(1).await;
    let body = completion("page");
    let head = format!(
        "{POST}host: x\r\nauthorization: Bearer secret-notary\r\ncontent-length: {}\r\n\r\n",
        body.len() + 1
    );
    let mut stream = TcpStream::connect(router.caller(0)).await.expect("it listens");
    stream.write_all(head.as_bytes()).await.expect("written");
    stream.write_all(body.as_bytes()).await.expect("written");
    drop(stream);
    others_are_served(&router).await;
    assert_eq!(router.deployment.ledger.runs("page"), 0);
}

async fn others_are_served(router: &Router) {
    let answered = router.complete(0, "notary", None, "another's page").await;
    assert_eq!(answered.stream(), (expected("another's page"), true));
}
