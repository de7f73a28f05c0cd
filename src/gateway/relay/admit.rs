//! Waits until an upstream has capacity for a call, and reserves it.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use tokio::time;
use tracing::info;

use crate::{
    gateway::{
        budget::Fleet,
        call::Prompt,
        dialect::Refusal,
        document::Document,
        entry::LEAVING_RETRY_AFTER,
        exchange::permit,
        hold::Reservation,
        message::{News, Update},
        peer::{Origin, Totals},
        permit::Purpose,
        place::{self, Choice, Query},
        relay::{RESPONSE_MARGIN, RETRY_AFTER, Relay, turn::Turn},
        room::engine::{Engines, Room},
        roster::Endpoint,
        salt::Owner,
        topology::FULL_MESH_DAEMONS,
    },
    kernel::{
        clock::Time,
        id::{Service, Upstream},
    },
    route::pool::name_hash,
};

/// The share of engine memory available to running calls. The rest holds cached prompts, without
/// which engines read several times as many tokens and do not recover from a short overload.
const RUNNING_MEMORY_SHARE: f64 = 0.5;

/// The share of engine memory available to calls that can no longer meet their objective.
const LATE_RUNNING_MEMORY_SHARE: f64 = 0.35;

/// The share of engine memory available to a stream that only some of the engines may continue. New
/// streams, which may begin at any, would leave no room at these.
const CONTINUED_MEMORY_SHARE: f64 = 0.75;

/// The mean interval between checks for free engine capacity.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The mean retry delay sent to callers when all engines are full. It is randomized so that callers
/// do not retry at the same time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The time that an engine needs to produce the first event for a long prompt.
pub(super) const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(200);

/// The result of selecting an upstream.
pub(super) enum Selection {
    Chosen(Choice),
    /// All engines are full, or those that could continue the stream are unavailable.
    Full,
    /// All that could take the call gave no permit; they may be asked again from this time on.
    Limited(Time),
}

impl Relay {
    /// Waits until an upstream has capacity and reserves it for the call.
    pub(super) async fn acquire(&mut self) -> Result<Reservation, Refusal> {
        if self.is_queued() {
            return self.acquire_in_turn().await;
        }
        loop {
            let opens_at = match self.select(None)? {
                Selection::Chosen(choice) => match self.reserve(choice).await? {
                    Some(reservation) => return Ok(reservation),
                    None => continue,
                },
                Selection::Full => None,
                Selection::Limited(until) => Some(until),
            };
            if !self.may_wait(opens_at) {
                let after = match opens_at {
                    None => FULL_RETRY_AFTER.mul_f64(0.5 + rand::random::<f64>()),
                    Some(until) => {
                        until.since(self.context.now()) + RETRY_AFTER.mul_f64(rand::random())
                    }
                };
                return Err(match self.executions {
                    0 => Refusal::NotRun(after),
                    _ => Refusal::Lost,
                });
            }
            time::sleep(POLL_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    /// Whether the call may keep waiting for capacity, of which there is none before `opens_at`. It may
    /// not once its latency objective has passed, because calls that can still meet theirs would
    /// overtake it repeatedly.
    fn may_wait(&self, opens_at: Option<Time>) -> bool {
        let at = opens_at.unwrap_or_default().max(self.context.now());
        at.since(self.waiting_since) < self.call.route.latency_objective
    }

    /// Whether the call can still meet its latency objective.
    pub(super) fn can_meet_objective(&self, now: Time) -> bool {
        now.since(self.waiting_since) + FIRST_EVENT_LATENCY < self.call.route.latency_objective
    }

    /// Whether an upstream that is closed now may take the call soon. Other calls find another one,
    /// but few upstreams may have the build that began a stream.
    fn may_reopen(&self, upstreams: &[Arc<Endpoint>]) -> bool {
        let now = self.context.now();
        self.open_upstreams(upstreams).any(|it| self.may_wait(it.health.paused_until(now)))
    }

    /// Refuses a call that may no longer be sent to any upstream.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        let (context, call) = (&self.context, &self.call);
        let now = context.now();
        let has_prompt = call.head.prompt.is_some();
        let min_time = match (has_prompt, self.is_queued()) {
            (false, _) => RESPONSE_MARGIN,
            (true, false) => FIRST_EVENT_LATENCY,
            // The time at the engine is known only once one is selected.
            (true, true) => self.min_first_event() + RESPONSE_MARGIN,
        };
        if now + min_time >= call.deadline {
            return Err(if self.executions > 0 { Refusal::TimedOut } else { self.no_upstream() });
        }
        if !self.may_begin(now) {
            counter!("tealturn_calls_leaving_total").increment(1);
            info!(
                attempt = call.head.attempt,
                runs = self.executions,
                "call not begun: it may be unfinished when this daemon ends"
            );
            return Err(match self.executions {
                0 => Refusal::NotRun(LEAVING_RETRY_AFTER),
                _ => Refusal::Lost,
            });
        }
        // The confirmation may expire while the call waits or between attempts, and a key that was
        // revoked since then must not be accepted.
        let is_confirmed = context.freshness.is_within(context.settings.revocation, now);
        if call.tenant.is_some() && !is_confirmed {
            return Err(self.no_upstream());
        }
        if let Some(after) = context.suspects().bar(self.fingerprint, now) {
            info!(
                attempt = call.head.attempt,
                "call refused: its request is barred because it crashed upstreams"
            );
            return Err(match self.executions {
                0 => Refusal::NotRun(after),
                _ => Refusal::Lost,
            });
        }
        let parts = call.head.prompt.as_ref().map_or(&[][..], Prompt::shared);
        let barred = context.crashes().bar(parts, now);
        if let Some(bar) = barred {
            counter!("tealturn_calls_barred_total").increment(1);
            info!(
                attempt = call.head.attempt,
                part = format!("{:x}", bar.part),
                "call refused: a part of its prompt is barred because it crashed upstreams"
            );
            return Err(match self.executions {
                0 => Refusal::NotRun(bar.rest),
                _ => Refusal::Lost,
            });
        }
        Ok(())
    }

    fn query<'a>(
        &'a self,
        document: Option<&'a Document>,
        excluded: &'a [Upstream],
        peers: &'a Totals,
        turn: Option<(Turn, &'a Engines)>,
        now: Time,
    ) -> Query<'a> {
        let (context, call) = (&self.context, &self.call);
        let running_limit_tokens = match turn {
            Some((turn, _)) => turn.limit,
            None => self.running_limit_tokens(call.service(), self.can_meet_objective(now)),
        };
        let owner = self.cache_owner();
        Query {
            prompt: call.head.prompt.as_ref(),
            cache_owner: owner.hash(),
            is_isolated: owner.is_isolated(),
            excluded,
            build: self.origin.as_ref(),
            old_version_grace: context.settings.weights_deadline,
            running_limit_tokens,
            kv_stores: document.map_or(&[], Document::kv_stores),
            engine_capacity_tokens: document.map_or(0, Document::engine_tokens),
            room: turn.map(|(turn, engines)| Room {
                engines,
                capacity_tokens: self.engine_tokens(call.service()).unwrap_or(u64::MAX),
                spared: turn.spared,
                now,
            }),
            peers,
            random: rand::random(),
        }
    }

    /// Selects an upstream for the call, within its turn if the calls to its service are queued.
    pub(super) fn select(&self, turn: Option<Turn>) -> Result<Selection, Refusal> {
        self.check()?;
        let (context, call) = (&self.context, &self.call);
        let (now, service) = (context.now(), call.service());
        let progress = context.progress.load();
        let peers = context.peers.peer_load(now);
        let engines = turn.map(|it| (it, context.rooms.observe(&peers, self.fleet(now), now)));
        let document = context.document.load();
        let view = context.view.load();
        let upstreams = view.service(service);
        let withheld = self.withheld(upstreams);
        let excluded = [&self.excluded[..], &withheld].concat();
        let query = self.query(
            document.as_deref(),
            &excluded,
            &peers,
            engines.as_ref().map(|(turn, it)| (*turn, &**it)),
            now,
        );
        let choice = context.placer().choose(&query, upstreams, &progress, now);
        match choice {
            Ok(choice) => Ok(Selection::Chosen(choice)),
            Err(place::Error::Full) => Ok(Selection::Full),
            Err(place::Error::Limited(until)) => Ok(Selection::Limited(until)),
            Err(place::Error::Closed) if !withheld.is_empty() || self.may_reopen(upstreams) => {
                Ok(Selection::Full)
            }
            Err(reason) => {
                let service = service.as_str();
                info!(
                    attempt = call.head.attempt,
                    service,
                    ?reason,
                    "no upstream selected: none can take the call"
                );
                Err(self.no_upstream())
            }
        }
    }

    /// Reserves the selected upstream. Returns `None` if another one must be selected, because it gave
    /// no permit or is no longer available.
    pub(super) async fn reserve(&mut self, choice: Choice) -> Result<Option<Reservation>, Refusal> {
        if choice.endpoint.health.limit().rate.is_some() {
            if !permit::obtain(&self.context, &choice.endpoint, Purpose::Call).await {
                return Ok(None);
            }
            self.check()?;
            if choice.endpoint.health.is_unavailable(self.context.now()) {
                return Ok(None);
            }
        }
        let (context, call) = (&self.context, &self.call);
        let (now, service) = (context.now(), call.service());
        let peers = context.peers.peer_load(now);
        let document = context.document.load_full();
        let query = self.query(document.as_deref(), &self.excluded, &peers, None, now);
        if self.sends == 0 {
            context.budget().record_call(service, now);
        }
        // An attempt that failed to connect reached no upstream, so the next one is not a retry.
        let is_retry = self.sends > self.connect_failures;
        let daemons = context.members.count();
        let others = context.peers.usage(name_hash(service.as_str()), now);
        // In a small fleet an even share is large enough.
        let others = others.filter(|_| daemons > FULL_MESH_DAEMONS);
        let fleet = Fleet { daemons, others, random: rand::random() };
        if is_retry && !context.budget().try_retry(service, fleet, now) {
            info!(
                attempt = call.head.attempt,
                service = service.as_str(),
                "call not retried: the retry budget of its service is used up"
            );
            return Err(self.no_upstream());
        }
        let entries = context.placer().record_send(&query, &choice);
        let mut updates = context.peers.updates();
        for entry in entries {
            updates.push(Origin::Own, Update { hops: 0, news: News::Cached(entry) });
        }
        drop(updates);
        self.sends += 1;
        // `held` is the number of shared parts that the engine holds, `found` the number that it
        // holds or can fetch, and `save` whether it should save parts to the KV store.
        // `unread_tokens` are those of `prompt_tokens` that the engine must prefill,
        // `superseded_ms` is how long newer weights than the upstream's have been configured, and
        // `limit` the requests a second that the upstream takes from all daemons.
        info!(
            attempt = call.head.attempt,
            upstream = choice.endpoint.name.as_str(),
            reason = choice.reason,
            build = choice.endpoint.record.build.as_str(),
            version = choice.version.map(|it| it.0),
            superseded_ms = choice.superseded_since.map(|it| now.since(it).as_millis() as u64),
            limit = choice.endpoint.health.limit().rate,
            resumes = call.head.resumes,
            last_event = self.last_event,
            source = choice.source.as_ref().map(|it| it.address().to_string()),
            held = choice.prefix_depth.0,
            found = choice.prefix_depth.1,
            save = choice.save_to.is_some(),
            prompt_tokens = call.head.prompt.as_ref().map(|it| it.tokens),
            unread_tokens = choice.unread_tokens,
            cost_ms = choice.cost_ms,
            waited_ms = now.since(call.received).as_millis() as u64,
            "upstream selected, sending the call"
        );
        let prompt = call.head.prompt.as_ref();
        Ok(Some(Reservation::new(context, choice, prompt, self.fingerprint)))
    }

    /// Whose cached prompts the call may use under the latest document, which may isolate other
    /// workspaces than the one under which the call was accepted.
    pub(super) fn cache_owner(&self) -> Arc<Owner> {
        let document = self.context.document.load();
        let tenant = self.call.tenant.as_deref();
        document.as_ref().map(|it| it.cache_owner(tenant)).unwrap_or_default()
    }

    /// The memory of an engine of the service, in tokens; `None` if its upstreams are not engines.
    fn engine_tokens(&self, service: &Service) -> Option<u64> {
        let document = self.context.document.load();
        document.as_ref().and_then(|it| it.service(service)).and_then(|it| it.capacity_tokens)
    }

    /// The limit on the memory that running calls use in each engine of the service, in tokens. It
    /// is lower for late calls, to leave capacity to those that can still meet their objective, and
    /// higher for streams that only engines of one of several builds may continue.
    pub(super) fn running_limit_tokens(&self, service: &Service, is_on_time: bool) -> u64 {
        let share = if self.origin.is_some() && self.context.view.load().builds(service).len() > 1 {
            CONTINUED_MEMORY_SHARE
        } else if is_on_time {
            RUNNING_MEMORY_SHARE
        } else {
            LATE_RUNNING_MEMORY_SHARE
        };
        self.engine_tokens(service).map_or(u64::MAX, |it| (it as f64 * share) as u64)
    }
}
