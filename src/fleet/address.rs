//! The page that tells callers which daemons to use.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{Daemon, Zone},
        part::{Audience, Page, Route},
    },
};

inventory::submit! {
    Route {
        audience: Audience::Caller,
        method: Some(Method::GET),
        path: "/v1/addresses",
        page: &Addresses,
    }
}

/// The answer: daemons to use, the best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// The daemons.
    pub addresses: Vec<Address>,
    /// How long the list may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// A daemon that callers may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Address {
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its name.
    pub daemon: Daemon,
}

struct Addresses;

#[async_trait]
impl Page for Addresses {
    async fn answer(&self, context: Arc<Context>, _: Request<Incoming>) -> Response<Body> {
        let own = Address {
            address: context.bound.caller,
            zone: context.settings.zone.clone(),
            daemon: context.settings.daemon.clone(),
        };
        let mut addresses = Vec::new();
        if !context.leaving.is_cancelled() {
            addresses.push(own);
        }
        for member in context.members.live().iter() {
            if member.leaving {
                continue;
            }
            addresses.push(Address {
                address: member.caller,
                zone: member.zone.clone(),
                daemon: member.daemon.clone(),
            });
        }
        let list = List {
            addresses,
            lifetime_ms: context.settings.address_lifetime_s * 1_000,
        };
        server::json(StatusCode::OK, &list)
    }
}
