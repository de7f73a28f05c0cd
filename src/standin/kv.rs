//! A stand-in for a store of exported KV cache.
//!
//! | call | answer |
//! |---|---|
//! | `POST /kv/write` with [`Write`] | 200, how many of the blocks are in the store |
//! | `POST /kv/read` with [`Read`] | 200, how many of the blocks, from the first on, it holds |
//! | `PUT /faults` with [`Faults`] | 204 |

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    collections::Map,
    http::server::{Body, Handler},
    kernel::id::Incarnation,
    prefix::{Hash, Salt},
    standin::{
        page::{self, Refused},
        port::{self, Switch},
    },
};

/// Blocks of one owner that an engine exports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Write {
    /// The owner.
    pub salt: Salt,
    /// The run of the engine.
    pub exporter: Incarnation,
    /// The blocks, from the first of a prompt on.
    pub blocks: Vec<Hash>,
}

/// Blocks that an engine wants to import.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Read {
    /// The owner.
    pub salt: Salt,
    /// The run of the engine that must have exported them.
    pub exporter: Incarnation,
    /// The blocks, from the first of a prompt on.
    pub blocks: Vec<Hash>,
}

/// What goes wrong with a KV store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All connections that are open now go silent; new ones work.
    pub silence: bool,
    /// It refuses everything.
    pub down: bool,
    /// It loses what it holds now.
    pub clear: bool,
}

/// A running KV store.
pub struct Store {
    address: SocketAddr,
    switch: Arc<Switch>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    blocks: Map<(Salt, Hash), Incarnation>,
    faults: Faults,
}

impl Store {
    /// Starts an empty store on a port that the system chooses; it runs until `stop`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if no port can be bound.
    pub async fn start(stop: CancellationToken) -> Result<Arc<Store>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Arc::new(Store {
            address: listener.local_addr()?,
            switch: Arc::new(Switch::default()),
            inner: Mutex::default(),
        });
        let switch = store.switch.clone();
        tokio::spawn(port::serve(listener, switch, store.clone(), stop));
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults, and acts on those that happen once.
    pub fn set_faults(&self, faults: Faults) {
        if faults.silence {
            self.switch.silence();
        }
        let mut inner = self.lock();
        if faults.clear {
            inner.blocks.clear();
        }
        inner.faults = faults;
    }

    fn write(&self, write: Write) -> u64 {
        let mut inner = self.lock();
        for block in &write.blocks {
            let key = (write.salt.clone(), *block);
            inner.blocks.insert(key, write.exporter);
        }
        write.blocks.len() as u64
    }

    fn read(&self, read: &Read) -> u64 {
        let inner = self.lock();
        let is_held = |block: &&Hash| {
            let key = (read.salt.clone(), **block);
            inner.blocks.get(&key) == Some(&read.exporter)
        };
        read.blocks.iter().take_while(is_held).count() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[async_trait]
impl Handler for Store {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let answer = match (request.method(), path.as_str()) {
            (&Method::PUT, "/faults") => page::body(request).await.map(|faults| {
                self.set_faults(faults);
                page::empty()
            }),
            _ if self.lock().faults.down => {
                Err(Refused::text(StatusCode::SERVICE_UNAVAILABLE, "the KV store is down"))
            }
            (&Method::POST, "/kv/write") => {
                let write = page::body(request).await;
                write.map(|it| page::json(&self.write(it)))
            }
            (&Method::POST, "/kv/read") => {
                let read = page::body(request).await;
                read.map(|it| page::json(&self.read(&it)))
            }
            _ => Ok(page::not_found()),
        };
        answer.unwrap_or_else(Refused::into_response)
    }
}
