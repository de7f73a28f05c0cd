//! Calls between daemons, with every field and variant in use.

use std::time::Duration;

use tealturn::{
    fleet::board::{Fact, Key, Value},
    gateway::{
        cache, crash,
        exchange::{
            ExchangeRequest, ExchangeResponse,
            fetch::{Part, Wanted},
            origin::Lookup,
            wire::value::Bytes,
        },
        gauge::Outcomes,
        message::{
            Age, Head, Limit, Link, Load, Message, News, Notice, Offset, Release, Rollout, Rows,
            Sighting, Target, Targets, Update, Usage,
        },
        origin,
        permit::{self, Purpose},
        quota::{self, Balance, Denial, Grant, Quota, Unit},
        rollout::{Stage, Status, Statuses},
        store::{Era, Position, Row},
    },
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Model, Upstream, Version},
    },
};

/// A call and its answer.
pub struct Sample {
    pub name: &'static str,
    /// The first protocol that has it.
    pub since: u32,
    pub request: fn() -> ExchangeRequest,
    pub response: fn() -> ExchangeResponse,
}

pub const SAMPLES: &[Sample] = &[
    Sample {
        name: "exchange",
        since: 1,
        request: || ExchangeRequest::Exchange { message: full() },
        response: || ExchangeResponse::Exchange(empty()),
    },
    Sample {
        name: "permit",
        since: 1,
        request: || ExchangeRequest::Permit {
            ask: permit::Ask {
                upstream: u64::MAX - 1,
                incarnation: INCARNATION,
                rate: 12.5,
                purpose: Purpose::Order,
            },
        },
        response: || ExchangeResponse::Permit(permit::Verdict::Denied(Duration::from_millis(70))),
    },
    Sample {
        name: "permit-granted",
        since: 1,
        request: || ExchangeRequest::Permit {
            ask: permit::Ask {
                upstream: 3,
                incarnation: INCARNATION,
                rate: 0.5,
                purpose: Purpose::Call,
            },
        },
        response: || ExchangeResponse::Permit(permit::Verdict::Granted),
    },
    Sample {
        name: "quota",
        since: 1,
        request: || ExchangeRequest::Quota {
            ask: quota::Ask {
                workspace: 1 << 60,
                amount: 9_190,
                quota: Quota { rate: 100.5, burst: 20.0, unit: Unit::Tokens { unstated: 512 } },
                is_retry: true,
            },
        },
        response: || ExchangeResponse::Quota(quota::Verdict::Granted(GRANT)),
    },
    Sample {
        name: "quota-denied",
        since: 1,
        request: || ExchangeRequest::Quota {
            ask: quota::Ask {
                workspace: 1 << 60,
                amount: 1,
                quota: Quota { rate: 2.0, burst: 4.0, unit: Unit::Requests },
                is_retry: false,
            },
        },
        response: || {
            ExchangeResponse::Quota(quota::Verdict::Denied(Denial {
                retry_after: Duration::from_millis(1_250),
                balance: -3.5,
            }))
        },
    },
    Sample {
        name: "return-quota",
        since: 1,
        request: || ExchangeRequest::ReturnQuota { grant: GRANT },
        response: || ExchangeResponse::ReturnQuota(()),
    },
    Sample {
        name: "keep-origin",
        since: 1,
        request: || ExchangeRequest::KeepOrigin { entry: origin_entry() },
        response: || ExchangeResponse::KeepOrigin(()),
    },
    Sample {
        name: "find-origin",
        since: 1,
        request: || ExchangeRequest::FindOrigin { attempt: 77 },
        response: || ExchangeResponse::FindOrigin(Some(Build::from("v2"))),
    },
    Sample {
        name: "find-origin-unknown",
        since: 1,
        request: || ExchangeRequest::FindOrigin { attempt: 78 },
        response: || ExchangeResponse::FindOrigin(None),
    },
    Sample {
        name: "exchange-withheld",
        since: 3,
        request: || ExchangeRequest::Exchange {
            message: Message { withheld: vec![notice()], ..full() },
        },
        response: || ExchangeResponse::Exchange(empty()),
    },
    Sample {
        name: "fetch-rows",
        since: 3,
        request: || ExchangeRequest::FetchRows {
            wanted: Wanted { topic: 2, after: Some(POSITION), offset: 70_000 },
        },
        response: || {
            ExchangeResponse::FetchRows(Some(Part {
                position: POSITION,
                full: true,
                digest: u64::MAX,
                total: 70_003,
                bytes: Bytes(vec![1, 2, 255]),
            }))
        },
    },
    Sample {
        name: "fetch-rows-unknown",
        since: 3,
        request: || ExchangeRequest::FetchRows {
            wanted: Wanted { topic: 0, after: None, offset: 0 },
        },
        response: || ExchangeResponse::FetchRows(None),
    },
    Sample {
        name: "look-up-origin",
        since: 4,
        request: || ExchangeRequest::LookUpOrigin { attempt: 77 },
        response: || {
            ExchangeResponse::LookUpOrigin(Lookup {
                incarnation: INCARNATION,
                build: Some(Build::from("v2")),
            })
        },
    },
    Sample {
        name: "look-up-origin-unknown",
        since: 4,
        request: || ExchangeRequest::LookUpOrigin { attempt: 78 },
        response: || {
            ExchangeResponse::LookUpOrigin(Lookup { incarnation: INCARNATION, build: None })
        },
    },
];

const POSITION: Position = Position { era: Era(1), version: 41 };

const INCARNATION: Incarnation = Incarnation(1_700_000_000_000_000);

const GRANT: Grant = Grant { workspace: 1 << 60, amount: 9_190, incarnation: INCARNATION };

fn notice() -> Notice {
    Notice { topic: 0, until: POSITION, holder: "daemon-3".to_owned() }
}

fn origin_entry() -> origin::Entry {
    origin::Entry { attempt: 77, service: 5, build: Build::from("v2") }
}

/// A time on its way, 250 ms before the message that it refers to.
fn offset() -> Offset {
    Offset::new(Time::from_millis(750), Time::from_millis(1_000))
}

fn age() -> Age {
    Age::new(Time::from_millis(250), Time::from_millis(1_000))
}

/// A message without content.
pub fn empty() -> Message {
    Message {
        from: "daemon-2".to_owned(),
        incarnation: INCARNATION,
        link: Link::Hub,
        stamp: Time::from_millis(5),
        to: Incarnation::default(),
        echo: Time::default(),
        acknowledged_update: 0,
        last_update: 0,
        updates: Vec::new(),
        usages: Vec::new(),
        loads: Vec::new(),
        live_digest: 0,
        live: None,
        heads: [None; 3],
        rows: Vec::new(),
        document: None,
        targets: Vec::new(),
        rollouts_digest: 0,
        rollouts: Vec::new(),
        sightings: Vec::new(),
        limits: Vec::new(),
        builds: Vec::new(),
        balances: Vec::new(),
        withheld: Vec::new(),
    }
}

fn news() -> Vec<News> {
    let entry = cache::Entry {
        cache: 11,
        incarnation: INCARNATION,
        part: u64::MAX,
        tokens: 2_520,
        shared: true,
    };
    let suspect = Fact {
        key: Key::Suspect(99),
        value: Value::Suspect { crashes: 2, barred: true, lifts: 1 },
    };
    let crashed = crash::Fact {
        part: 123,
        depth: 2,
        clearances: 1,
        seen: true,
        crashes: vec![crash::Crash { id: 8, age: age() }],
    };
    vec![
        News::Cached(entry),
        News::Suspect(suspect),
        News::Began(origin_entry()),
        News::Crashed(crashed),
    ]
}

/// A message with all fields in use.
pub fn full() -> Message {
    let status = |engine: &str, stage| Status {
        engine: Upstream::from(engine),
        incarnation: INCARNATION,
        version: Version(3),
        stage,
    };
    let row = Row {
        key: "member/daemon-1".to_owned(),
        value: Some(b"{\"x\":\xff}".to_vec()),
        version: 40,
        removed: false,
    };
    let removed = Row { key: "barred/1f".to_owned(), value: None, version: 41, removed: true };
    let head = Head { position: POSITION, confirmed_at: offset() };
    Message {
        from: "daemon-1".to_owned(),
        incarnation: INCARNATION,
        link: Link::Peer,
        stamp: Time::from_millis(1_000),
        to: Incarnation(17),
        echo: Time::from_millis(900),
        acknowledged_update: 300,
        last_update: 70_000,
        updates: news().into_iter().map(|news| Update { hops: 1, news }).collect(),
        usages: vec![Usage { service: 5, calls: 40, retries: 2 }],
        loads: vec![Load {
            engine: 11,
            calls: 3,
            tokens: 9_000,
            memory: 70_000,
            outcomes: Outcomes { calls: 4.5, failures: 0.25 },
        }],
        live_digest: 1 << 63,
        live: Some(vec![(21, true), (22, false)]),
        heads: [Some(head), None, Some(head)],
        rows: vec![
            Rows { topic: 2, after: Some(39), rows: vec![row, removed] },
            Rows { topic: 0, after: None, rows: Vec::new() },
        ],
        document: Some(4),
        targets: vec![Targets {
            model: Model::from("wiki"),
            versions: vec![Target { version: Version(3), age: age(), is_assumed: false }],
        }],
        rollouts_digest: 6,
        rollouts: vec![Rollout {
            model: Model::from("wiki"),
            fence: (1 << 32) + 2,
            statuses: Statuses {
                revision: 9,
                marks: vec![status("u-1", Stage::Loading), status("u-2", Stage::Loaded)],
            },
        }],
        sightings: vec![Sighting {
            engine: 11,
            incarnation: INCARNATION,
            dead_at: offset(),
            alive_at: Some(offset()),
        }],
        limits: vec![Limit {
            upstream: 11,
            incarnation: INCARNATION,
            rate: Some(1.5),
            heard_at: offset(),
        }],
        builds: vec![Release { service: 5, build: Build::from("v1"), age: age() }],
        balances: vec![Balance { workspace: 1 << 60, granted: -4, balance: 100 }],
        withheld: Vec::new(),
    }
}
