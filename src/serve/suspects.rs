//! Marks the requests that crash upstreams, and exchanges the marks with other daemons.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use metrics::counter;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::board::{Fact, Key},
    kernel::{
        context::Context,
        id::{Incarnation, Request, Upstream},
        registry::{Component, Registration},
    },
    request::suspect::{Fingerprint, Table},
    timeline::Subject,
};

/// How often the marks of other daemons are taken in.
const TICK: Duration = Duration::from_millis(100);

struct Suspects;

inventory::submit! {
    Registration { name: "suspects", make: || Box::new(Suspects) }
}

/// Takes note that a run of an upstream has crashed.
pub fn crashed(context: &Context, upstream: &Upstream, incarnation: Incarnation) {
    let now = context.now();
    let facts = context.serving.suspects().crashed(upstream, incarnation, now);
    if facts.is_empty() {
        return;
    }
    counter!("tealturn_crashes_seen_total").increment(1);
    let subject = Subject::Upstream(upstream.to_string());
    let detail = format!("run {incarnation}, {} suspects", facts.len());
    context.ring.record(subject, "upstream_crashed", detail);
    publish(context, &facts);
}

/// Takes note that an attempt ended.
pub fn ended(context: &Context, attempt: Request, finished: bool) {
    let now = context.now();
    let facts = context.serving.suspects().ended(attempt, finished, now);
    publish(context, &facts);
}

/// Takes in what other daemons have told of a request up to now.
pub fn learn(context: &Context, suspects: &mut Table, fingerprint: Fingerprint) {
    let key = fingerprint.key();
    if let Some(value) = context.board.get(&key) {
        suspects.learn(&Fact { key, value }, context.now());
    }
}

fn publish(context: &Context, facts: &[Fact]) {
    for fact in facts {
        context.board.publish(fact);
    }
}

#[async_trait]
impl Component for Suspects {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            let facts = context.board.facts(|it| matches!(it, Key::Suspect(_)));
            let now = context.now();
            let mut suspects = context.serving.suspects();
            for fact in &facts {
                suspects.learn(fact, now);
            }
        }
    }
}
