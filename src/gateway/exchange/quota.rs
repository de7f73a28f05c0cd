//! Charges the quotas of workspaces for calls.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use tracing::info;

use crate::{
    gateway::{
        call::Call,
        context::Context,
        dialect::Refusal,
        exchange::ExchangeClient,
        quota::{self, Ask, Denial, Grant, Quota, Verdict},
    },
    kernel::id::Workspace,
    route::pool::name_hash,
};

/// How long the issuer may take to answer until the next one is asked instead.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// The longest wait for an issuer that takes back an amount. The caller doesn't wait for it.
const RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of daemons that are asked. More would take longer than most calls may take.
const MAX_ASKED: usize = 3;

/// What a call was charged. Dropped without having been executed, it is returned.
#[must_use]
pub struct Charge {
    context: Arc<Context>,
    workspace: Workspace,
    issuer: String,
    grant: Grant,
    is_executed: bool,
}

impl Charge {
    /// Records that an upstream may execute the call.
    pub fn executed(&mut self) {
        self.is_executed = true;
    }

    /// Records that the upstream did not execute it. The charge is good for another attempt.
    pub fn rejected(&mut self) {
        self.is_executed = false;
    }

    /// Whether an upstream may have executed the call, so that a further attempt is charged again.
    pub fn is_executed(&self) -> bool {
        self.is_executed
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.is_executed || self.grant.amount == 0 {
            return;
        }
        count(&self.workspace, "returned", self.grant.amount);
        let (context, grant) = (self.context.clone(), self.grant);
        if self.issuer == context.settings.daemon.as_str() {
            return quota::take_back(&context, &grant);
        }
        let issuer = std::mem::take(&mut self.issuer);
        tokio::spawn(async move {
            let address = context.members.peer_address(&issuer)?;
            let make = |client: ExchangeClient, call| async move {
                client.return_quota(call, grant).await
            };
            context.connections.call(address, RETURN_TIMEOUT, make).await
        });
    }
}

/// Charges the quota of a call's workspace; `None` if it has none. A retry after an attempt that may have run
/// is charged but not refused.
///
/// # Errors
///
/// [`Refusal::OverQuota`] if the quota doesn't admit the call, [`Refusal::Malformed`] if it doesn't state its
/// amount in a valid way.
pub async fn charge(
    context: &Arc<Context>,
    call: &Call,
    is_retry: bool,
) -> Result<Option<Charge>, Refusal> {
    let Some(tenant) = &call.tenant else { return Ok(None) };
    let Some(quota) = tenant.quota else { return Ok(None) };
    let workspace = &tenant.workspace;
    let amount = quota.amount(&call.head)?;
    let ask = Ask { workspace: name_hash(workspace.as_str()), amount, quota, is_retry };
    let (issuer, verdict) = obtain(context, &ask).await;
    match verdict {
        Verdict::Granted(grant) => {
            count(workspace, "granted", grant.amount);
            let (context, workspace) = (context.clone(), workspace.clone());
            Ok(Some(Charge { context, workspace, issuer, grant, is_executed: false }))
        }
        Verdict::Denied(denial) => {
            count(workspace, "refused", amount);
            log_refusal(call, workspace, &ask, &issuer, &denial);
            Err(Refusal::OverQuota(denial.retry_after))
        }
    }
}

fn log_refusal(call: &Call, workspace: &Workspace, ask: &Ask, issuer: &str, denial: &Denial) {
    let Quota { rate, burst, unit } = ask.quota;
    info!(
        attempt = call.head.attempt,
        workspace = workspace.as_str(),
        rate,
        burst,
        ?unit,
        amount = ask.amount,
        issuer,
        balance = denial.balance,
        retry_after_ms = denial.retry_after.as_millis() as u64,
        "call refused: its workspace is over its quota"
    );
}

fn count(workspace: &Workspace, outcome: &'static str, amount: u64) {
    let workspace = workspace.as_str().to_owned();
    counter!("tealturn_quota_total", "workspace" => workspace, "outcome" => outcome)
        .increment(amount);
}

/// Asks the issuer, or the next in rank if it doesn't answer; returns which daemon decided.
async fn obtain(context: &Arc<Context>, ask: &Ask) -> (String, Verdict) {
    let (own, plan) = (context.settings.daemon.as_str(), context.plan.load_full());
    for name in quota::issuers(own, &plan, ask.workspace).into_iter().take(MAX_ASKED) {
        if name == own {
            return (own.to_owned(), quota::decide(context, ask));
        }
        let (hash, now) = (name_hash(name), context.now());
        let Some(address) = context.members.peer_address(name) else { continue };
        if context.quotas().is_silent(hash, now) {
            continue;
        }
        let ask = *ask;
        let make = |client: ExchangeClient, call| async move { client.quota(call, ask).await };
        if let Some(verdict) = context.connections.call(address, ANSWER_TIMEOUT, make).await {
            return (name.to_owned(), verdict);
        }
        context.quotas().record_silence(hash, context.now());
        counter!("tealturn_quota_unanswered_total").increment(1);
        info!(issuer = name, "no answer to the question whether a quota admits a call");
    }
    (own.to_owned(), quota::decide_alone(context, ask))
}
