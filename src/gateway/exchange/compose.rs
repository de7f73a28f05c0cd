//! Builds the message to a peer.

use std::time::Duration;

use metrics::counter;

use crate::{
    gateway::{
        context::Context,
        exchange::wire::FETCH_PROTOCOL,
        message::{
            Age, Head, Limit, Link, Load, Message, News, Notice, Offset, Release, Rollout, Rows,
            Sighting, Target, Targets, Update, Usage,
        },
        peer::{Known, live_digest},
        store::Topic,
    },
    kernel::clock::Time,
    route::pool::name_hash,
};

/// Minimum decayed number of failures at an upstream for it to be reported to other daemons.
const MIN_REPORTED_FAILURES: f32 = 0.5;

/// How long it is reported that an upstream was found dead.
const SIGHTING_LIFETIME: Duration = Duration::from_secs(10);

/// How long it is reported that a limit ended.
const ENDED_LIMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Target versions of each model that are reported: an engine's weights are rarely older.
const REPORTED_TARGETS: usize = 6;

/// Bytes of rows that a message may carry. A hub sends a changed row to all its peers at once, and all
/// of these messages must arrive within the timeout of an exchange, over the narrowest link.
const MAX_ROW_BYTES: usize = 16 * 1024;

/// Builds the message to the peer `name`; `link` is what this daemon is to it.
pub fn compose(context: &Context, name: &str, link: Link) -> Message {
    let now = context.now();
    let peers = &context.peers;
    let known = peers.known(name);
    let to_link = link.reversed();
    let (last_update, updates) = updates(context, name, to_link, &known);
    let own_name = context.settings.daemon.as_str();
    let mut live = peers.reported_live(name, to_link, now);
    live.push((name_hash(own_name), context.accepts_callers()));
    let is_known = known != Known::default() && live_digest(&live) == known.sent_live;
    let progress = context.progress.load();
    let rollouts_digest = progress.statuses_digest();
    let mut rollouts = Vec::new();
    // Before the first message of the peer it is not known what it has.
    if known != Known::default() && known.rollouts != rollouts_digest {
        rollouts.extend(progress.statuses().map(|(model, fence, statuses)| Rollout {
            model: model.clone(),
            fence,
            statuses: statuses.clone(),
        }));
    }
    let (rows, withheld) = rows(context, name, &known);
    Message {
        from: own_name.to_owned(),
        incarnation: context.incarnation,
        link,
        stamp: now,
        to: known.incarnation,
        echo: known.stamp,
        acknowledged_update: known.received_update,
        last_update,
        updates,
        usages: usages(context, name, to_link, now),
        loads: loads(context, name, to_link, now),
        live_digest: known.received_live,
        live: (!is_known).then_some(live),
        heads: Topic::FOLLOWED.map(|topic| head(context, topic, &known)),
        rows,
        document: context.documents.known(),
        targets: targets(context, now),
        rollouts_digest,
        rollouts,
        sightings: sightings(context, &known, now),
        limits: limits(context, &known, now),
        builds: builds(context, now),
        balances: match link {
            Link::Peer => context.quotas().balances(now),
            Link::Hub | Link::Spoke => Vec::new(),
        },
        withheld,
    }
}

/// The updates that the peer lacks. One that has none yet, or that is behind the log, gets all
/// suspects and the origins of streams. Before its first message nothing is sent: it may never
/// answer.
fn updates(context: &Context, name: &str, to_link: Link, known: &Known) -> (u64, Vec<Update>) {
    if *known == Known::default() {
        return (0, Vec::new());
    }
    let after = known.acknowledged_update;
    let log = context.peers.updates();
    let is_behind = after == 0 || !log.reaches(after);
    let (last, mut updates) = log.after(after, to_link, name_hash(name));
    drop(log);
    let now = context.now();
    for update in &mut updates {
        if let News::Crashed(fact) = &mut update.news {
            context.crashes().update_ages(fact, now);
        }
    }
    if is_behind {
        let crashes = context.crashes().facts(now);
        updates.extend(crashes.into_iter().map(|it| Update { hops: 0, news: News::Crashed(it) }));
        let facts = context.suspects().facts();
        updates.extend(facts.into_iter().map(|it| Update { hops: 0, news: News::Suspect(it) }));
        let origins = context.origins().shared();
        updates.extend(origins.into_iter().map(|it| Update { hops: 0, news: News::Began(it) }));
    }
    (last, updates)
}

fn usages(context: &Context, name: &str, to_link: Link, now: Time) -> Vec<Usage> {
    let mut sums = context.peers.reported_usage(name, to_link, now);
    for usage in context.budget().usages(now) {
        sums.entry(usage.service).or_default().add(&usage);
    }
    sums.into_iter().map(|(service, usage)| Usage { service, ..usage }).collect()
}

fn loads(context: &Context, name: &str, to_link: Link, now: Time) -> Vec<Load> {
    let mut totals = context.peers.reported_load(name, to_link, now);
    let fleet = context.peers.peer_load(now);
    for endpoint in context.view.load().all() {
        let (health, engine) = (&endpoint.health, endpoint.hash);
        let (calls, outcomes) = (health.calls_in_flight(), health.recent_outcomes(now));
        // Upstreams without calls in flight are listed only while some daemon's calls fail there,
        // because the failure rate is computed from the outcomes at all daemons.
        let is_failing = outcomes.failures >= MIN_REPORTED_FAILURES
            || fleet.get(&engine).is_some_and(|it| it.outcomes.failures >= MIN_REPORTED_FAILURES);
        if calls > 0 || is_failing {
            let (tokens, memory) = (health.pending_prompt_tokens(), health.reserved_tokens());
            let own = Load { engine, calls, tokens, memory, outcomes };
            totals.entry(engine).or_default().add(&own);
        }
    }
    totals.into_iter().map(|(engine, load)| Load { engine, ..load }).collect()
}

fn head(context: &Context, topic: Topic, known: &Known) -> Option<Head> {
    let head = context.mirror.head(topic)?;
    let confirmed_at = Offset::new(head.confirmed_at, known.heard_at);
    Some(Head { position: head.position, confirmed_at })
}

/// The rows that the peer lacks, and notices of those that it must fetch. Before its first message
/// it is not known which.
fn rows(context: &Context, name: &str, known: &Known) -> (Vec<Rows>, Vec<Notice>) {
    let (mut missing, mut withheld) = (Vec::new(), Vec::new());
    if *known == Known::default() {
        return (missing, withheld);
    }
    let can_fetch = context.members.protocol(name).is_some_and(|it| it >= FETCH_PROTOCOL);
    let mut room = if can_fetch { MAX_ROW_BYTES } else { usize::MAX };
    for (index, topic) in Topic::FOLLOWED.into_iter().enumerate() {
        let position = known.positions[index];
        let head = context.mirror.head(topic).map(|it| it.position);
        // It is passed on at once, since the rows take this daemon a while, too.
        let notice = context.notices.get(topic, head.max(position));
        if let Some(notice) = notice.filter(|it| can_fetch && it.holder != name) {
            withheld.push(notice);
            continue;
        }
        if head <= position {
            continue;
        }
        let lack = context.mirror.lack(topic, position).unwrap_or_default();
        if lack.bytes > room {
            let holder = context.settings.daemon.as_str().to_owned();
            withheld.push(Notice { topic: index, until: lack.until, holder });
            continue;
        }
        let Some(delta) = context.mirror.after(topic, position) else {
            continue;
        };
        room -= lack.bytes;
        counter!("tealturn_exchange_row_bytes_total", "topic" => topic.name())
            .increment(lack.bytes as u64);
        let after = position.map(|it| it.version).filter(|_| !delta.full);
        missing.push(Rows { topic: index, after, rows: delta.rows });
    }
    (missing, withheld)
}

fn targets(context: &Context, now: Time) -> Vec<Targets> {
    let progress = context.progress.load();
    let mut targets = Vec::new();
    for (model, recent) in progress.recent_targets(REPORTED_TARGETS) {
        let versions = recent.iter().map(|it| Target {
            version: it.version,
            age: Age::new(it.since, now),
            is_assumed: it.is_assumed,
        });
        targets.push(Targets { model: model.clone(), versions: versions.collect() });
    }
    targets
}

fn sightings(context: &Context, known: &Known, now: Time) -> Vec<Sighting> {
    let mut sightings = Vec::new();
    for endpoint in context.view.load().all() {
        let found = endpoint.health.sighting();
        let Some(dead_at) = found.dead_at.filter(|it| now.since(*it) < SIGHTING_LIFETIME) else {
            continue;
        };
        sightings.push(Sighting {
            engine: endpoint.hash,
            incarnation: endpoint.record.incarnation,
            dead_at: Offset::new(dead_at, known.heard_at),
            alive_at: found.alive_at.map(|it| Offset::new(it, known.heard_at)),
        });
    }
    sightings
}

fn limits(context: &Context, known: &Known, now: Time) -> Vec<Limit> {
    let mut limits = Vec::new();
    for endpoint in context.view.load().all() {
        let limit = endpoint.health.limit();
        let was_named = limit.heard_at > Time::default();
        if limit.rate.is_none() && !(was_named && now.since(limit.heard_at) < ENDED_LIMIT_LIFETIME)
        {
            continue;
        }
        limits.push(Limit {
            upstream: endpoint.hash,
            incarnation: endpoint.record.incarnation,
            rate: limit.rate,
            heard_at: Offset::new(limit.heard_at, known.heard_at),
        });
    }
    limits
}

fn builds(context: &Context, now: Time) -> Vec<Release> {
    let (view, origins) = (context.view.load(), context.origins());
    let mut builds = Vec::new();
    for name in view.services() {
        let service = name_hash(name.as_str());
        for (build, at) in origins.mixed_builds(service, view.builds(name), now) {
            builds.push(Release { service, build, age: Age::new(at, now) });
        }
    }
    builds
}
