//! Applies a message from a peer.

use std::time::Duration;

use tracing::info;

use crate::{
    gateway::{
        context::Context,
        follow, gauge,
        limit::Limit,
        message::{Message, News, Update},
        peer::Origin,
        quota,
        rollout::Target,
        store::{Era, Topic},
    },
    kernel::clock::Time,
    route::pool::name_hash,
};

/// Time after a daemon learned of an era of the store in which the operator may not have written again
/// what the store lost.
const RESTORE_DOUBT: Duration = Duration::from_secs(10);

/// Applies a message.
pub fn take(context: &Context, message: &Message) {
    let now = context.now();
    take_updates(context, message, now);
    take_document(context, message);
    context.peers.record(message, context.incarnation, now);
    take_targets(context, message, now);
    for recent in &message.builds {
        let at = recent.age.resolve(now);
        context.origins().learn_build(recent.service, &recent.build, at);
    }
    if !message.balances.is_empty() {
        quota::learn(context, message);
    }
    for rollout in &message.rollouts {
        let (model, fence) = (&rollout.model, rollout.fence);
        if context.change_progress(|it| it.update_statuses(model, fence, &rollout.statuses)) {
            context.rollout_news.confirm(now);
        }
    }
    // Offsets refer to a message of this process.
    let echo = (message.to == context.incarnation && message.echo > Time::default())
        .then_some(message.echo)
        .filter(|it| *it <= now);
    if let Some(echo) = echo {
        take_sightings(context, message, echo, now);
        take_limits(context, message, echo);
    }
    take_rows(context, message, echo);
    for notice in &message.withheld {
        if let Some(topic) = Topic::FOLLOWED.get(notice.topic) {
            context.notices.record(*topic, notice);
        }
    }
}

/// Takes updates, and keeps them to be passed on.
fn take_updates(context: &Context, message: &Message, now: Time) {
    let document = context.document.load();
    let origin = Origin::Peer(message.link, name_hash(&message.from));
    take_crashes(context, message, now);
    for update in &message.updates {
        match &update.news {
            News::Crashed(_) => continue,
            News::Cached(entry) => {
                if let Some(document) = document.as_ref() {
                    let (tokens, stores) = (document.engine_tokens(), document.kv_stores());
                    context.placer().record_entries(&[*entry], tokens, stores);
                }
            }
            News::Suspect(fact) => {
                if !context.suspects().learn(fact, now) {
                    continue;
                }
            }
            News::Began(entry) => {
                if !context.origins().learn(entry, now) {
                    continue;
                }
            }
        }
        let update = Update { hops: update.hops + 1, news: update.news.clone() };
        context.peers.updates().push(origin, update);
    }
}

/// Takes what is told of parts that crash upstreams, and keeps it to be passed on.
fn take_crashes(context: &Context, message: &Message, now: Time) {
    let mut told = Vec::new();
    for update in &message.updates {
        if let News::Crashed(fact) = &update.news {
            told.push((update.hops, fact.clone()));
        }
    }
    if told.is_empty() {
        return;
    }
    let facts: Vec<_> = told.iter().map(|(_, fact)| fact.clone()).collect();
    let learned = context.change_crashes(|it| it.learn(&facts, now));
    let origin = Origin::Peer(message.link, name_hash(&message.from));
    let mut replies = Vec::new();
    for ((hops, fact), learned) in told.into_iter().zip(learned) {
        if learned.is_news {
            let update = Update { hops: hops + 1, news: News::Crashed(fact) };
            context.peers.updates().push(origin, update);
        }
        replies.extend(learned.reply);
    }
    context.publish_crashes(replies);
}

/// Notes the latest document that the sender knows of. A daemon that started after the store came
/// back from an older copy may have confirmed an older one.
fn take_document(context: &Context, message: &Message) {
    context.documents.learn(message.document);
    let active = context.document.load().as_ref().map(|it| it.version);
    let observed = context.eras.observed().filter(|(era, _)| *era > Era::default());
    let may_be_restored = observed.is_some_and(|(_, at)| context.now().since(at) < RESTORE_DOUBT);
    if may_be_restored && message.document > active {
        context.freshness.reset();
    }
}

fn take_targets(context: &Context, message: &Message, now: Time) {
    for targets in &message.targets {
        for named in &targets.versions {
            let (version, since) = (named.version, named.age.resolve(now));
            let target = Target { version, since, is_assumed: named.is_assumed };
            context.learn_target(&targets.model, target);
        }
    }
}

fn take_sightings(context: &Context, message: &Message, echo: Time, now: Time) {
    if message.sightings.is_empty() {
        return;
    }
    for endpoint in context.view.load().all() {
        let process = (endpoint.hash, endpoint.record.incarnation);
        let found = message.sightings.iter().find(|it| (it.engine, it.incarnation) == process);
        let Some(found) = found else { continue };
        let found = gauge::Sighting {
            dead_at: Some(found.dead_at.resolve(echo)),
            alive_at: found.alive_at.map(|it| it.resolve(echo)),
        };
        endpoint.health.record_sighting(found, now);
    }
}

fn take_limits(context: &Context, message: &Message, echo: Time) {
    if message.limits.is_empty() {
        return;
    }
    for endpoint in context.view.load().all() {
        let process = (endpoint.hash, endpoint.record.incarnation);
        let named = message.limits.iter().find(|it| (it.upstream, it.incarnation) == process);
        let Some(named) = named else { continue };
        let limit = Limit { rate: named.rate, heard_at: named.heard_at.resolve(echo) };
        if endpoint.health.learn_limit(limit) {
            let upstream = endpoint.name.as_str();
            info!(upstream, rate = limit.rate, "another daemon told of a changed limit");
            // Spokes of this daemon must know, too.
            context.urgent.notify_one();
        }
    }
}

/// Takes the rows that this daemon lacks, and the confirmation of those that it has.
fn take_rows(context: &Context, message: &Message, echo: Option<Time>) {
    for (index, topic) in Topic::FOLLOWED.into_iter().enumerate() {
        let Some(head) = message.heads[index] else {
            continue;
        };
        context.eras.observe(head.position.era, context.now());
        let confirmed_at = echo.map_or(Time::default(), |it| head.confirmed_at.resolve(it));
        if let Some(rows) = message.rows.iter().find(|it| it.topic == index) {
            let source = message.from.as_str();
            follow::log_rows(topic, &rows.rows, source);
            follow::apply(context, topic, &rows.rows, rows.after, head.position, confirmed_at);
            continue;
        }
        let own = context.mirror.head(topic).map(|it| it.position);
        if own.is_some_and(|it| it.era == head.position.era && it >= head.position) {
            let after = Some(head.position.version);
            follow::apply(context, topic, &[], after, head.position, confirmed_at);
        }
    }
}
