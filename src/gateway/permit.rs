//! Permits for requests to upstreams that named a limit.
//!
//! One daemon issues the permits of an upstream process, so that all daemons together keep the limit,
//! however many they are and however requests are spread over them. Each daemon computes the issuer
//! from the hubs that it knows, by rendezvous hashing. Daemons whose views of the fleet differ may use
//! two issuers for a while; a new one starts without permits in stock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    admission::bucket,
    collections::Map,
    gateway::{brittle, context::Context, roster::Endpoint, topology::Plan},
    kernel::{clock::Time, id::Incarnation},
    route::pool::{mix, name_hash},
};

/// Lowest rate at which permits are issued, in requests a second. Only the answer to a request tells
/// that a limit has ended.
const MIN_RATE: f64 = 0.1;

/// The time whose permits are kept in stock while nobody asks for them, and the permits that are kept at
/// least: with a single one, those that fall due until the next daemon asks would be lost.
const STOCK: Duration = Duration::from_millis(500);
const MIN_STOCK: f64 = 2.0;

/// Permits that a load order, with the report before it, may get ahead of time.
const MAX_DEBT: f64 = 2.0;

/// Time constant of the count of daemons that were denied a permit and will ask again.
const DENIAL_DECAY_S: f64 = 1.0;

/// Longest time over which daemons that were denied a permit ask again.
const MAX_SPREAD_S: f64 = 1.0;

/// Longest time after which a daemon that was denied a permit asks again.
const MAX_PAUSE_S: f64 = 15.0;

/// Time after which a daemon that asked one that isn't the issuer asks again.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(200);

/// How long the permits of an upstream process are kept count of after the last question.
const BUCKET_LIFETIME: Duration = Duration::from_secs(60);

/// What a permit is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// A caller's call, or a question that can wait.
    Call,
    /// The report that must precede a load order. Weights have a deadline, and calls can go to other
    /// engines.
    Report,
    /// A load order, for which the report before it has left a permit.
    Order,
}

/// A question for a permit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// The limit as known to the daemon that asks, in requests a second.
    pub rate: f64,
    /// What the permit is for.
    pub purpose: Purpose,
}

/// What permits are issued by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Requests a second that the upstream takes.
    pub rate: f64,
    /// The most permits in stock.
    pub burst: f64,
    /// The number of daemons that may ask.
    pub daemons: usize,
}

/// The issuer's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// One request may be sent now.
    Granted,
    /// None may be sent; the daemon may ask again after this time.
    Denied(Duration),
}

/// Permits issued for one upstream process.
#[derive(Clone, Debug)]
struct Bucket {
    /// Permits in stock; in debt after load orders.
    stock: bucket::Bucket,
    /// Daemons that were denied a permit lately.
    denied: f64,
    /// When both were computed.
    at: Time,
}

/// Issues permits.
#[derive(Debug, Default)]
pub struct Issuer {
    buckets: Map<(u64, Incarnation), Bucket>,
}

impl Issuer {
    /// Decides on a question about an upstream that takes `rate` requests a second. `random`, from 0 to
    /// 1, spreads the daemons that must ask again.
    pub fn decide(&mut self, ask: &Ask, rate: f64, random: f64, now: Time) -> Verdict {
        let terms = Terms { rate, burst: f64::INFINITY, daemons: usize::MAX };
        self.decide_on(ask, terms, random, now)
    }

    /// The same on these terms.
    pub fn decide_on(&mut self, ask: &Ask, terms: Terms, random: f64, now: Time) -> Verdict {
        let Terms { rate, burst, daemons } = terms;
        self.buckets.retain(|_, it| now.since(it.at) < BUCKET_LIFETIME);
        let rate = rate.max(MIN_RATE);
        let new = Bucket { stock: bucket::Bucket::new(0.0, now), denied: 0.0, at: now };
        let bucket = self.buckets.entry((ask.upstream, ask.incarnation)).or_insert(new);
        let passed = now.since(bucket.at).as_secs_f64();
        let most = (rate * STOCK.as_secs_f64()).min(burst).max(MIN_STOCK);
        bucket.stock.refill(rate, most, now);
        bucket.denied *= (-passed / DENIAL_DECAY_S).exp();
        bucket.at = now;
        let needed = match ask.purpose {
            Purpose::Call => 1.0,
            Purpose::Report => 2.0 - MAX_DEBT,
            Purpose::Order => 1.0 - MAX_DEBT,
        };
        if bucket.stock.balance() >= needed {
            bucket.stock.charge(1);
            return Verdict::Granted;
        }
        bucket.denied = (bucket.denied + 1.0).min(daemons as f64);
        let spread = (bucket.denied / rate).min(MAX_SPREAD_S) * random;
        let pause = (needed - bucket.stock.balance()) / rate + spread;
        Verdict::Denied(Duration::from_secs_f64(pause.min(MAX_PAUSE_S)))
    }
}

/// The daemon that issues the permits of the upstream with this hash, as seen by the daemon `own`.
pub fn issuer<'a>(own: &'a str, plan: &'a Plan, upstream: u64) -> &'a str {
    let hubs = plan.hubs.iter().map(String::as_str);
    let own_hub = (plan.is_hub || plan.hubs.is_empty()).then_some(own);
    let issuer = hubs.chain(own_hub).max_by_key(|it| mix(upstream ^ name_hash(it)));
    issuer.unwrap_or(own)
}

/// The question for a permit to send a request to an upstream; `None` if it named no limit.
pub fn ask(upstream: &Endpoint, purpose: Purpose) -> Option<Ask> {
    let rate = upstream.health.limit().rate?;
    let incarnation = upstream.record.incarnation;
    Some(Ask { upstream: upstream.hash, incarnation, rate, purpose })
}

/// Decides on a question as the issuer. A daemon that sees another one as the issuer denies it, so that
/// two don't issue permits for as long as it takes all daemons to notice a change. The limit that this daemon knows takes precedence over that
/// of the daemon that asks, because one of them may have missed a change.
pub fn decide(context: &Context, ask: &Ask) -> Verdict {
    let (own, plan) = (context.settings.daemon.as_str(), context.plan.load());
    if issuer(own, &plan, ask.upstream) != own {
        return Verdict::Denied(MISDIRECTED_PAUSE);
    }
    let process = (ask.upstream, ask.incarnation);
    let view = context.view.load();
    let upstream = view.all().find(|it| (it.hash, it.record.incarnation) == process);
    let known = upstream.map(|it| it.health.limit()).filter(|it| it.heard_at > Time::default());
    let rate = match known {
        Some(limit) => limit.rate,
        None => Some(ask.rate),
    };
    let Some(rate) = rate else {
        return Verdict::Granted;
    };
    // More would have to wait there, or be rejected.
    let burst = upstream.map_or(f64::INFINITY, |it| brittle::burst(it.record.slots));
    let terms = Terms { rate, burst, daemons: context.members.count() };
    context.issuer().decide_on(ask, terms, rand::random(), context.now())
}
