//! The pages of an engine.

use std::{str::FromStr, sync::Arc, time::Duration};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio::{sync::watch, time};

use crate::{
    http::server::{Body, Handler},
    kernel::{
        clock::{Clock, Time},
        id,
    },
    prefix::{self, Chain, Hash},
    standin::{
        answer::Answer,
        engine::{
            Engine, Faults,
            batch::Job,
            orders,
            stream::{self, Progress, Stream},
        },
        kv::{Read, Write},
        page::{self, Refused},
    },
    upstream::wire::{
        Change, Completion, Event, Events, Export, Exported, Finish, Import, Imported, Load, Order,
        Refusal,
    },
};

/// Time that one block takes to or from a KV store.
const TRANSFER_PER_BLOCK: Duration = Duration::from_micros(50);

/// Answers the requests to an engine.
pub(super) struct Pages(pub(super) Arc<Engine>);

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let engine = &self.0;
        let path = request.uri().path().to_owned();
        if let Some(stream) = path.strip_prefix("/v1/streams/") {
            return engine.stream(stream, &request);
        }
        let answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/load") => Ok(page::json(&engine.load_report())),
            (&Method::GET, "/v1/state") => Ok(page::json(&engine.state())),
            (&Method::GET, "/v1/events") => {
                Ok(page::json(&engine.events(page::number(&request, "after", 0))))
            }
            (&Method::POST, "/v1/completions") => engine.complete(request).await,
            (&Method::POST, "/v1/orders") => engine.answer_order(request).await,
            (&Method::POST, "/v1/kv/export") => engine.export(request).await,
            (&Method::POST, "/v1/kv/import") => engine.import(request).await,
            (&Method::PUT, "/faults") => page::body::<Faults>(request).await.map(|faults| {
                engine.set_faults(faults);
                page::empty()
            }),
            _ => Ok(page::not_found()),
        };
        answer.unwrap_or_else(Refused::into_response)
    }
}

impl Engine {
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    async fn complete(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let completion: Completion = page::body(request).await?;
        let prompt = completion.prompt.as_bytes();
        let chain = Chain::new(&completion.cache_salt, prompt);
        let answer = Answer::new(&completion.prompt);
        let prompt_tokens = prefix::token_count(prompt.len()) as u64;
        let stream = {
            let mut inner = self.lock();
            let incarnation = inner.incarnation;
            let refuse = |status, code| Err(refusal(status, code, incarnation));
            if let Some(stream) = inner.streams.get(&completion.request_id) {
                return Ok(stream::events(stream.clone(), completion.skip_tokens));
            }
            let max_tokens = u64::from(completion.max_tokens);
            if completion.prompt.is_empty() || completion.skip_tokens >= max_tokens {
                return refuse(StatusCode::BAD_REQUEST, "invalid");
            }
            if inner.faults.leaving {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving");
            }
            if !inner.serves(&completion) {
                return refuse(StatusCode::CONFLICT, "mismatch");
            }
            if inner.batch.queued() >= self.settings.queue {
                return refuse(StatusCode::TOO_MANY_REQUESTS, "full");
            }
            let stream = Arc::new(Stream {
                request: completion.request_id,
                incarnation,
                version: completion.version,
                answer,
                progress: watch::Sender::new(Progress {
                    tokens: completion.skip_tokens,
                    ..Progress::default()
                }),
            });
            let mut job = Job::new(stream.clone(), chain, prompt_tokens, max_tokens);
            job.priority = completion.priority;
            let poison = inner.faults.poison.as_deref();
            job.poisoned = poison.is_some_and(|it| completion.prompt.contains(it));
            inner.batch.push(job);
            inner.streams.insert(completion.request_id, stream.clone());
            stream
        };
        self.work.notify_one();
        Ok(stream::events(stream, completion.skip_tokens))
    }

    fn stream(&self, name: &str, request: &Request<Incoming>) -> Response<Body> {
        let inner = self.lock();
        let found = id::Request::from_str(name).ok();
        let found = found.and_then(|it| inner.streams.get(&it));
        let Some(stream) = found else {
            let refused = refusal(StatusCode::NOT_FOUND, "unknown_stream", inner.incarnation);
            return refused.into_response();
        };
        match *request.method() {
            Method::GET => stream::events(stream.clone(), page::number(request, "offset", 0)),
            Method::DELETE => {
                stream.end(Finish::Cancelled, self.now());
                page::empty()
            }
            _ => page::not_found(),
        }
    }

    fn load_report(&self) -> Load {
        let now = self.now();
        let inner = self.lock();
        let Some(report) = inner.reports.front() else {
            return inner.load(&self.settings);
        };
        let age_ms = now.since(report.time).as_millis() as u64;
        Load { age_ms, ..report.load.clone() }
    }

    fn events(&self, after: u64) -> Events {
        let now = self.now();
        let inner = self.lock();
        let faults = &inner.faults;
        let delay = Duration::from_millis(faults.event_delay_ms);
        let mut events = Vec::new();
        for published in &inner.events {
            let seq = published.event.seq;
            let dice = seq.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
            if seq <= after || dice % 100 < faults.event_drop_percent {
                continue;
            }
            if now.since(published.time) < delay {
                break;
            }
            let wrong = (dice / 100) % 100 < faults.event_wrong_percent;
            let change = match wrong {
                true => falsify(&published.event.change),
                false => published.event.change.clone(),
            };
            events.push(Event { seq, change });
        }
        Events { incarnation: inner.incarnation, events }
    }

    async fn answer_order(
        self: &Arc<Engine>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refused> {
        let order: Order = page::body(request).await?;
        let state = self.order(order).map_err(|refused| match refused {
            orders::Refused::Fenced => refusal(StatusCode::CONFLICT, "fenced", self.incarnation()),
            orders::Refused::Faulty => {
                refusal(StatusCode::SERVICE_UNAVAILABLE, "invalid", self.incarnation())
            }
        })?;
        Ok(page::json(&state))
    }

    async fn export(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let export: Export = page::body(request).await?;
        let (held, exporter) = {
            let inner = self.lock();
            (inner.cache.held(&export.blocks), inner.incarnation)
        };
        time::sleep(TRANSFER_PER_BLOCK * held as u32).await;
        let write =
            Write { salt: export.cache_salt, exporter, blocks: export.blocks[..held].to_vec() };
        let written = self.client.post(export.store, "/kv/write", &write).await;
        let blocks: u64 = written.map_err(|error| unavailable(&error))?;
        Ok(page::json(&Exported { incarnation: exporter, blocks }))
    }

    async fn import(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let import: Import = page::body(request).await?;
        let incarnation = self.incarnation();
        let mismatch = || refusal(StatusCode::CONFLICT, "mismatch", incarnation);
        let is_loaded = |engine: &Engine| {
            let state = engine.state();
            let mut loaded = state.loaded.iter();
            loaded.any(|it| it.model == import.model && it.version == import.version)
        };
        if !is_loaded(self) {
            return Err(mismatch());
        }
        let read = Read {
            salt: import.cache_salt.clone(),
            exporter: import.exporter,
            blocks: import.blocks.clone(),
        };
        let read = self.client.post(import.store, "/kv/read", &read).await;
        let blocks: u64 = read.map_err(|error| unavailable(&error))?;
        time::sleep(TRANSFER_PER_BLOCK * blocks as u32).await;
        if self.incarnation() != incarnation || !is_loaded(self) {
            return Err(mismatch());
        }
        let now = self.now();
        let mut inner = self.lock();
        let taken = blocks.min(import.blocks.len() as u64) as usize;
        let stored = inner.cache.store(&import.blocks[..taken], now);
        self.ledger.imported(&stored);
        if !stored.is_empty() {
            inner.publish(Change::Stored(stored), now);
        }
        Ok(page::json(&Imported { blocks }))
    }
}

fn falsify(change: &Change) -> Change {
    let other = |hashes: &[Hash]| hashes.iter().map(|it| Hash(!it.0)).collect();
    match change {
        Change::Stored(hashes) => Change::Stored(other(hashes)),
        Change::Removed(hashes) => Change::Removed(other(hashes)),
        Change::Cleared => Change::Cleared,
    }
}

fn unavailable(error: &crate::Error) -> Refused {
    Refused::text(StatusCode::BAD_GATEWAY, &error.to_string())
}

fn refusal(status: StatusCode, code: &str, incarnation: id::Incarnation) -> Refused {
    let message = match code {
        "mismatch" => "these weights are not loaded",
        "full" => "the queue is full",
        "leaving" => "this engine takes no new requests",
        "fenced" => "a newer order was given",
        "unknown_stream" => "this run of the engine knows no such stream",
        _ => "this engine refuses the request",
    };
    Refused::json(
        status,
        &Refusal { code: code.to_owned(), message: message.to_owned(), incarnation },
    )
}
