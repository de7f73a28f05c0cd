//! A stand-in for the platform: table service, VM list, object store and weight store.
//!
//! | call | answer |
//! |---|---|
//! | `GET /table/row`, `GET /table/rows`, `POST /table/commit` | see [`crate::platform::table`] |
//! | `GET /vms` | see [`crate::platform::vm`] |
//! | `PUT /vms/NAME` with an [`Entry`], `DELETE /vms/NAME` | 204; seen in the list after its lag |
//! | `GET`, `PUT`, `DELETE /objects/KEY` | 200 or 404, 204, 204 |
//! | `GET /weights/MODEL/VERSION` | 200 when the load is done |
//! | `GET /measures` | 200, [`Totals`](crate::standin::ledger::Totals) of all engines |
//! | `GET /calls` | 200, [`Calls`] |
//! | `PUT /faults` with [`Faults`] | 204; replaces all faults |

pub mod rate;
pub mod table;
pub mod weights;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    collections::Map,
    http::server::{self, Body, Handler},
    kernel::clock::{self, Clock, Time},
    platform::{
        table::{NO_SUCH_ROW, Transaction},
        vm::Entry,
    },
    standin::{
        ledger::Ledger,
        page::{self, Refused},
        platform::{
            rate::Window,
            table::Rows,
            weights::{Loads, Speed},
        },
        port::{self, Switch},
    },
};

/// What goes wrong with the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All connections that are open now go silent; new ones work.
    pub silence: bool,
    /// The table service answers 503 and applies nothing.
    pub table_down: bool,
    /// Time before the table service answers, in milliseconds.
    pub table_delay_ms: u64,
    /// Reads of the table a second; more are answered with 429.
    pub table_reads: u64,
    /// Commits to the table a second; more are answered with 429.
    pub table_writes: u64,
    /// Of the commits, one in so many is applied and its answer lost; 0 for none.
    pub table_lose_one_in: u64,
    /// The VM list answers 503.
    pub vms_down: bool,
    /// Time until a change shows in the VM list, in milliseconds.
    pub vms_lag_ms: u64,
    /// Entries that the VM list shows beside the right ones.
    pub vms_wrong: Vec<Entry>,
    /// VMs that the VM list leaves out, by name.
    pub vms_hidden: Vec<String>,
    /// Object store and weight store answer 503.
    pub stores_down: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            silence: false,
            table_down: false,
            table_delay_ms: 2,
            table_reads: 2_000,
            table_writes: 400,
            table_lose_one_in: 0,
            vms_down: false,
            vms_lag_ms: 500,
            vms_wrong: Vec::new(),
            vms_hidden: Vec::new(),
            stores_down: false,
        }
    }
}

/// Calls that the platform got, refused ones included.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads of the table.
    pub table_reads: u64,
    /// Commits to the table.
    pub table_writes: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Loads of weights.
    pub weights: u64,
    /// The most loads of weights at once.
    pub weights_at_once: u64,
}

/// A running platform.
pub struct Platform {
    address: SocketAddr,
    speed: Speed,
    ledger: Arc<Ledger>,
    clock: clock::System,
    switch: Arc<Switch>,
    loads: Loads,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    rows: Rows,
    reads: Window,
    writes: Window,
    vms: BTreeMap<String, Vm>,
    objects: Map<String, Bytes>,
    faults: Faults,
    calls: Calls,
}

/// A VM as it was listed before its last change, and as it is listed once the list has caught up.
#[derive(Clone, Debug, Default)]
struct Vm {
    before: Option<Entry>,
    after: Option<Entry>,
    changed: Time,
}

impl Platform {
    /// Starts an empty platform on a port that the system chooses; it runs until `stop`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if no port can be bound.
    pub async fn start(
        speed: Speed,
        ledger: Arc<Ledger>,
        stop: CancellationToken,
    ) -> Result<Arc<Platform>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform = Arc::new(Platform {
            address: listener.local_addr()?,
            speed,
            ledger,
            clock: clock::System::new(),
            switch: Arc::new(Switch::default()),
            loads: Loads::default(),
            inner: Mutex::default(),
        });
        let switch = platform.switch.clone();
        tokio::spawn(port::serve(listener, switch, platform.clone(), stop));
        Ok(platform)
    }

    /// Where all its services listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults, and acts on those that happen once.
    pub fn set_faults(&self, faults: Faults) {
        if faults.silence {
            self.switch.silence();
        }
        self.lock().faults = faults;
    }

    /// Calls so far.
    pub fn calls(&self) -> Calls {
        let calls = self.lock().calls;
        Calls { weights_at_once: self.loads.most() as u64, ..calls }
    }

    /// Lists a VM, or takes it from the list. It shows after the list's lag.
    pub fn list(&self, name: &str, entry: Option<Entry>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.faults.vms_lag_ms);
        let vm = inner.vms.entry(name.to_owned()).or_default();
        if now.since(vm.changed) >= lag {
            vm.before = vm.after.take();
        }
        vm.after = entry;
        vm.changed = now;
    }

    /// Lists a VM that has been there for long.
    pub fn list_at_once(&self, entry: Entry) {
        let vm = Vm {
            before: Some(entry.clone()),
            after: Some(entry.clone()),
            changed: Time::default(),
        };
        self.lock().vms.insert(entry.name, vm);
    }

    /// The VM list as it is given out now.
    pub fn entries(&self) -> Vec<Entry> {
        let now = self.clock.now();
        let inner = self.lock();
        let lag = Duration::from_millis(inner.faults.vms_lag_ms);
        let listed = inner.vms.values().filter_map(|it| {
            let caught_up = now.since(it.changed) >= lag;
            let entry = if caught_up { &it.after } else { &it.before };
            entry.clone()
        });
        let mut entries: Vec<Entry> = listed.collect();
        entries.retain(|it| !inner.faults.vms_hidden.contains(&it.name));
        entries.extend(inner.faults.vms_wrong.iter().cloned());
        entries
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let path = request.uri().path().to_owned();
        if path.starts_with("/table/") {
            return self.answer_table(&path, request).await;
        }
        if let Some(name) = path.strip_prefix("/vms/") {
            return self.answer_vm(name, request).await;
        }
        if path.starts_with("/objects/") {
            return self.answer_object(&path, request).await;
        }
        if path.starts_with("/weights/") {
            self.lock().calls.weights += 1;
            self.check_stores()?;
            self.loads.read(&self.speed).await;
            return Ok(page::json(&path));
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/vms") => {
                self.lock().calls.vms += 1;
                if self.lock().faults.vms_down {
                    return Err(unavailable("the VM list is down"));
                }
                Ok(page::json(&self.entries()))
            }
            (&Method::GET, "/measures") => Ok(page::json(&self.ledger.totals())),
            (&Method::GET, "/calls") => Ok(page::json(&self.calls())),
            (&Method::PUT, "/faults") => {
                self.set_faults(page::body(request).await?);
                Ok(page::empty())
            }
            _ => Ok(page::not_found()),
        }
    }

    async fn answer_table(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refused> {
        let commit = path == "/table/commit";
        let delay = self.admit_table(commit)?;
        time::sleep(delay).await;
        match (request.method(), path) {
            (&Method::GET, "/table/row") => {
                let key = page::query(&request, "key").unwrap_or_default();
                let inner = self.lock();
                match inner.rows.get(&key) {
                    Some(row) => Ok(page::json(row)),
                    None => Ok(server::answer(StatusCode::NOT_FOUND, "text/plain", NO_SUCH_ROW)),
                }
            }
            (&Method::GET, "/table/rows") => {
                let prefix = page::query(&request, "prefix").unwrap_or_default();
                let after = page::query(&request, "after").unwrap_or_default();
                let limit = page::number(&request, "limit", 1_000) as usize;
                Ok(page::json(&self.lock().rows.scan(&prefix, &after, limit)))
            }
            (&Method::POST, "/table/commit") => {
                let transaction: Transaction = page::body(request).await?;
                self.commit(&transaction).await
            }
            _ => Ok(page::not_found()),
        }
    }

    fn admit_table(&self, commit: bool) -> Result<Duration, Refused> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Faults { table_reads, table_writes, .. } = inner.faults;
        if inner.faults.table_down {
            return Err(unavailable("the table is down"));
        }
        let admitted = if commit {
            inner.calls.table_writes += 1;
            inner.writes.admit(table_writes, now)
        } else {
            inner.calls.table_reads += 1;
            inner.reads.admit(table_reads, now)
        };
        if !admitted {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(Refused::text(status, "too many calls a second"));
        }
        Ok(Duration::from_millis(inner.faults.table_delay_ms))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Response<Body>, Refused> {
        let (outcome, lost) = {
            let mut inner = self.lock();
            if inner.faults.table_down {
                return Err(unavailable("the table is down"));
            }
            let outcome = inner.rows.commit(transaction);
            let one_in = inner.faults.table_lose_one_in;
            let lost = one_in > 0 && inner.calls.table_writes.is_multiple_of(one_in);
            (outcome, lost)
        };
        if lost {
            // The client waits until it gives up or the connection ends.
            std::future::pending::<()>().await;
        }
        Ok(page::json(&outcome))
    }

    async fn answer_vm(
        &self,
        name: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refused> {
        match *request.method() {
            Method::PUT => {
                let entry: Entry = page::body(request).await?;
                self.list(name, Some(entry));
                Ok(page::empty())
            }
            Method::DELETE => {
                self.list(name, None);
                Ok(page::empty())
            }
            _ => Ok(page::not_found()),
        }
    }

    async fn answer_object(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refused> {
        self.check_stores()?;
        match *request.method() {
            Method::GET => {
                let object = self.lock().objects.get(path).cloned();
                let kind = "application/octet-stream";
                Ok(object
                    .map_or_else(page::not_found, |it| server::answer(StatusCode::OK, kind, it)))
            }
            Method::PUT => {
                let object = page::bytes(request).await?;
                self.lock().objects.insert(path.to_owned(), object);
                Ok(page::empty())
            }
            Method::DELETE => {
                self.lock().objects.remove(path);
                Ok(page::empty())
            }
            _ => Ok(page::not_found()),
        }
    }

    fn check_stores(&self) -> Result<(), Refused> {
        if self.lock().faults.stores_down {
            return Err(unavailable("the store is down"));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[async_trait]
impl Handler for Platform {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let answer = self.answer(request).await;
        answer.unwrap_or_else(Refused::into_response)
    }
}

fn unavailable(reason: &str) -> Refused {
    Refused::text(StatusCode::SERVICE_UNAVAILABLE, reason)
}
