//! The page that tells callers which daemons to use.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION};

use crate::{
    fleet::address::{self, Address, Caller, Candidate, List},
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{Workspace, Zone},
        registry::{Handler, Listener, Route},
    },
};

inventory::submit! {
    Route {
        listener: Listener::Caller,
        method: Some(Method::GET),
        path: "/v1/addresses",
        handler: &Addresses,
    }
}

struct Addresses;

#[async_trait]
impl Handler for Addresses {
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let caller = Caller { zone: zone(&request), workspace: workspace(&context, &request) };
        let candidates = candidates(&context);
        let list = List {
            addresses: address::choose(&caller, &candidates, &mut rand::rng()),
            lifetime: Duration::from_secs(context.settings.address_lifetime_s),
        };
        server::json(StatusCode::OK, &list)
    }
}

/// The daemons that take new callers.
pub fn candidates(context: &Context) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let live = context.members.live();
    if !context.leaving.is_cancelled() && context.ready.load(Ordering::Acquire) {
        candidates.push(Candidate {
            address: Address {
                address: context.bound_addrs.caller,
                zone: context.settings.zone.clone(),
                daemon: context.settings.daemon.clone(),
            },
            requests: context.members.requests(),
        });
    }
    for peer in live.iter() {
        if peer.member.leaving || !peer.load.ready {
            continue;
        }
        candidates.push(Candidate {
            address: Address {
                address: peer.member.caller,
                zone: peer.member.zone.clone(),
                daemon: peer.member.daemon.clone(),
            },
            requests: peer.load.requests,
        });
    }
    candidates
}

fn zone(request: &Request<Incoming>) -> Option<Zone> {
    let query = request.uri().query().unwrap_or_default();
    for pair in query.split('&') {
        if let Some(("zone", zone)) = pair.split_once('=') {
            return Some(Zone::from(zone));
        }
    }
    None
}

fn workspace(context: &Context, request: &Request<Incoming>) -> Option<Workspace> {
    let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let credential = header.strip_prefix("Bearer ")?;
    context.catalog.load().workspace(credential).cloned()
}
