//! A stand-in for a plain service, whose calls may not be repeated.
//!
//! | call | answer |
//! |---|---|
//! | any other call | 200, [`Echo`]; it is counted under its `idempotency-key` |
//! | `GET /executions` | 200, [`Executions`] |
//! | `PUT /faults` with [`Faults`] | 204 |

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    collections::Map,
    http::server::{Body, Handler},
    standin::{
        page::{self, Refused},
        port::{self, Switch},
    },
};

/// The header that names a call that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What the service answers: the call that it ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The idempotency key, if there was one.
    pub key: Option<String>,
    /// The BLAKE3 digest of the body: 64 hexadecimal digits.
    pub digest: String,
}

impl Echo {
    /// The answer to a call.
    pub fn new(method: &str, path: &str, key: Option<&str>, body: &[u8]) -> Echo {
        Echo {
            method: method.to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            digest: blake3::hash(body).to_hex().to_string(),
        }
    }
}

/// How often the calls of a key were run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// The idempotency key.
    pub key: String,
    /// Runs.
    pub count: u32,
}

/// How often each keyed call was run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Executions {
    /// By key, in no order.
    pub executions: Vec<Execution>,
}

/// What goes wrong with a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All connections that are open now go silent; new ones work.
    pub silence: bool,
    /// It goes away now and comes back.
    pub crash: bool,
    /// How long it stays away, in milliseconds.
    pub restart_ms: u64,
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
    /// It answers 503 and runs nothing.
    pub down: bool,
    /// It runs the call; then all connections go silent instead of an answer.
    pub lose_answers: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            silence: false,
            crash: false,
            restart_ms: 500,
            delay_ms: 5,
            down: false,
            lose_answers: false,
        }
    }
}

/// A running plain service.
pub struct Plain {
    address: SocketAddr,
    switch: Arc<Switch>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    executions: Map<String, u32>,
    faults: Faults,
}

impl Plain {
    /// Starts a service on a port that the system chooses; it runs until `stop`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if no port can be bound.
    pub async fn start(stop: CancellationToken) -> Result<Arc<Plain>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let plain = Arc::new(Plain {
            address: listener.local_addr()?,
            switch: Arc::new(Switch::default()),
            inner: Mutex::default(),
        });
        let switch = plain.switch.clone();
        tokio::spawn(port::serve(listener, switch, plain.clone(), stop));
        Ok(plain)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often the call of a key was run here.
    pub fn executed(&self, key: &str) -> u32 {
        self.lock().executions.get(key).copied().unwrap_or(0)
    }

    /// How often each keyed call was run here.
    pub fn executions(&self) -> Executions {
        let inner = self.lock();
        let executions = inner.executions.iter();
        let executions =
            executions.map(|(key, count)| Execution { key: key.clone(), count: *count });
        Executions { executions: executions.collect() }
    }

    /// Replaces its faults, and acts on those that happen once.
    pub fn set_faults(&self, faults: Faults) {
        if faults.silence {
            self.switch.silence();
        }
        if faults.crash {
            let switch = self.switch.clone();
            let away = Duration::from_millis(faults.restart_ms);
            switch.down();
            tokio::spawn(async move {
                time::sleep(away).await;
                switch.up();
            });
        }
        self.lock().faults = faults;
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let faults = self.lock().faults.clone();
        if faults.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Refused::text(status, "the service is down"));
        }
        let method = request.method().to_string();
        let path = request.uri().to_string();
        let key = request.headers().get(IDEMPOTENCY_KEY);
        let key = key.and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = page::bytes(request).await?;
        if let Some(key) = &key {
            *self.lock().executions.entry(key.clone()).or_default() += 1;
        }
        time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.lose_answers {
            self.switch.silence();
        }
        let echo = Echo::new(&method, &path, key.as_deref(), &body);
        Ok(page::json(&echo))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[async_trait]
impl Handler for Plain {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let answer = match (request.method(), request.uri().path()) {
            (&Method::PUT, "/faults") => page::body(request).await.map(|faults| {
                self.set_faults(faults);
                page::empty()
            }),
            (&Method::GET, "/executions") => Ok(page::json(&self.executions())),
            _ => self.run(request).await,
        };
        answer.unwrap_or_else(Refused::into_response)
    }
}
