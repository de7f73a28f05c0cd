//! Quotas of workspaces, which all daemons together keep.
//!
//! One hub issues the quota of a workspace, found by rendezvous hashing as the issuer of permits is. Every
//! hub keeps an account of each quota: the issuers tell the others in the exchange what they have granted, so
//! that a successor continues with what is left. See `docs/design/quotas.md`.

mod account;
mod issuer;
mod terms;

use std::{
    cmp::{Ordering, Reverse},
    time::Duration,
};

use serde::{Deserialize, Serialize};

pub use self::{
    account::{Authority, Balance},
    issuer::Issuer,
    terms::{Quota, Terms, Tolerance, Unit},
};
use crate::{
    gateway::{context::Context, message::Message, topology::Plan},
    kernel::id::Incarnation,
    route::pool::{mix, name_hash},
};

/// How recently a daemon must have been heard of to count as seen; messages are 360 ms apart at most.
const SEEN_AGE: Duration = Duration::from_millis(600);

/// How long after its last message an issuer is replaced by the next in rank. One that is cut off has stopped by
/// then: others report daemons as alive for 700 ms after they last heard of them, a message later, and that
/// counts for [`SEEN_AGE`]. With 1.7 s, 116 of 350 daemons
/// that are separated lead to 1.08 times the bound of a quota of requests.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_100);

/// How long a daemon that has started must have seen a majority before it issues whole quotas.
const START_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Time after its start in which a daemon that hasn't heard of most others assumes that they are starting,
/// too. Otherwise hardly any quota is issued for 2.5 s after all daemons were killed (1,400 calls refused in
/// 4 s of billing, scale-2). The accounts of a new process begin with a part of the tolerance only, so that
/// a part of the fleet that is in fact separated exceeds a quota by little in this time.
const START_TRUST: Duration = Duration::from_millis(1_500);

/// The same for one that lost a majority. Hubs to which calls failed are left out of views for 3 s, so that for
/// as long two issuers may each seem to be the only one.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);

/// A question whether a request of a workspace may be sent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// What the request uses, in the unit of the quota.
    pub amount: u64,
    /// The quota as known to the daemon that asks.
    pub quota: Quota,
    /// Whether an earlier attempt may have run: the amount is charged but never refused.
    pub is_retry: bool,
}

/// The issuer's answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Verdict {
    /// The request may be sent now.
    Granted(Grant),
    /// It may not.
    Denied(Denial),
}

/// An amount that was charged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// The amount.
    pub amount: u64,
    /// The process that charged it, to which alone it may be returned.
    pub incarnation: Incarnation,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Denial {
    /// When it would be admitted if nothing else were.
    pub retry_after: Duration,
    /// What the issuer could grant.
    pub balance: f64,
}

/// The daemons that may issue the quota of the workspace with this hash, the issuer first, as seen by the
/// daemon `own`. Spokes issue none unless they know no hub.
pub fn issuers<'a>(own: &'a str, plan: &'a Plan, workspace: u64) -> Vec<&'a str> {
    let own_hub = (plan.is_hub || plan.hubs.is_empty()).then_some(own);
    let hubs = plan.hubs.iter().map(String::as_str).chain(own_hub);
    let mut ranked: Vec<_> = hubs.collect();
    ranked.sort_by_key(|it| Reverse(mix(workspace ^ name_hash(it))));
    ranked
}

/// Decides on a question.
pub fn decide(context: &Context, ask: &Ask) -> Verdict {
    decide_with(context, ask, authority(context, ask.workspace))
}

/// Decides on a question of this daemon that no hub answers.
pub fn decide_alone(context: &Context, ask: &Ask) -> Verdict {
    let registered = context.members.count() as f64;
    let authority = match registered > 1.0 {
        true => Authority::Limited(1.0 / registered),
        false => Authority::Issuer,
    };
    decide_with(context, ask, authority)
}

fn decide_with(context: &Context, ask: &Ask, authority: Authority) -> Verdict {
    let granted =
        Grant { workspace: ask.workspace, amount: ask.amount, incarnation: context.incarnation };
    // A daemon whose document has another quota may have missed a change, or the one that asks.
    let quota = match context.document.load().as_ref() {
        Some(document) => document.quota(ask.workspace),
        None => Some(ask.quota),
    };
    let Some(quota) = quota else {
        return Verdict::Granted(Grant { amount: 0, ..granted });
    };
    let terms = terms(context, quota);
    match context.quotas().decide(ask, &terms, authority, context.now()) {
        Ok(()) => Verdict::Granted(granted),
        Err(denial) => Verdict::Denied(denial),
    }
}

/// What this daemon may issue. Only the issuer of a majority issues the whole quota, because one of another
/// part of the fleet may be issuing as well. Daemons count by what was heard of them: one that has just
/// started must not assume that all others are alive. Only the next in rank stands in for an issuer: each
/// daemon that is cut off is the first one in its own view once it has given up the others.
fn authority(context: &Context, workspace: u64) -> Authority {
    let (own, plan, now) = (context.settings.daemon.as_str(), context.plan.load(), context.now());
    let (seen, registered) = (seen(context), context.members.count());
    let alone = Authority::Limited(1.0 / registered as f64);
    let mut quotas = context.quotas();
    let part = quotas.settle((seen * 2).cmp(&registered), now);
    if quotas.is_new_hub(now) {
        return alone;
    }
    match (part, quotas.count_preceding(own, &plan, workspace, now)) {
        (Ordering::Greater, 0) => Authority::Issuer,
        (Ordering::Greater, 1) => Authority::Limited(1.0),
        (Ordering::Equal, 0) => Authority::Half,
        (Ordering::Less, 0) => Authority::Limited((seen as f64 / registered as f64).min(1.0)),
        _ => alone,
    }
}

/// The number of daemons that were heard of recently, this one included.
fn seen(context: &Context) -> usize {
    let own = name_hash(context.settings.daemon.as_str());
    context.peers.count_heard(own, SEEN_AGE, context.now()) + 1
}

fn terms(context: &Context, quota: Quota) -> Terms {
    Terms::new(quota, context.settings.quota.unwrap_or_default())
}

/// Takes back what this process granted for a request that did not run.
pub fn take_back(context: &Context, grant: &Grant) {
    if grant.incarnation == context.incarnation {
        context.quotas().take_back(grant, context.now());
    }
}

/// Takes what a peer tells of the quotas that it issues.
pub fn learn(context: &Context, message: &Message) {
    let now = context.now();
    let document = context.document.load();
    let Some(document) = document.as_ref() else { return };
    let sender = (name_hash(&message.from), message.incarnation);
    let mut quotas = context.quotas();
    for balance in &message.balances {
        let Some(quota) = document.quota(balance.workspace) else { continue };
        quotas.learn(sender, balance, &terms(context, quota), now);
    }
}

/// Takes note of the part that this daemon has in the exchange: while it isn't a hub, it isn't told what
/// others grant, and in a minority it doesn't know.
pub fn refresh(context: &Context, plan: &Plan, previous: &Plan) {
    let now = context.now();
    let mut quotas = context.quotas();
    if !plan.is_hub && !plan.hubs.is_empty() {
        return quotas.forget(now);
    }
    let part = (seen(context) * 2).cmp(&context.members.count());
    if quotas.settle(part, now) == Ordering::Less {
        quotas.release(now);
    } else if (plan.is_hub, &plan.hubs) != (previous.is_hub, &previous.hubs) {
        let gone = previous.hubs.iter().filter(|it| !plan.hubs.contains(it));
        for name in gone {
            // A spoke that becomes a hub was perhaps never called by this one.
            let heard_at = context.peers.heard_from(name).unwrap_or(now);
            quotas.record_departure(name, heard_at, now);
        }
        quotas.change(now);
    }
}
