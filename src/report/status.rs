//! `GET /v1/status`: what a daemon knows now.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{self, Daemon, Incarnation, Revision, Zone},
        registry::{Handler, Listener, Route},
    },
};

/// The state of a daemon and what it knows of the upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The deployment.
    pub deployment: String,
    /// The daemon.
    pub daemon: Daemon,
    /// Its availability zone.
    pub zone: Zone,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Whether it may serve.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// The other live daemons that it knows, by name.
    pub members: Vec<Member>,
    /// The upstreams that it knows, by name.
    pub upstreams: Vec<Upstream>,
}

/// What a daemon knows of another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The daemon.
    pub daemon: Daemon,
    /// Its availability zone.
    pub zone: Zone,
    /// The run that was seen.
    pub incarnation: Incarnation,
    /// Where it listens for callers.
    pub caller: SocketAddr,
    /// Where it listens for operators.
    pub operator: SocketAddr,
    /// It takes no new callers.
    pub leaving: bool,
}

/// What a daemon knows of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The newest run that was seen.
    pub incarnation: Incarnation,
    /// It answered the last time it was asked.
    pub alive: bool,
    /// It gets no new work.
    pub leaving: bool,
    /// Requests in its batch by its last report, which lags.
    pub running: Option<u32>,
    /// Requests in its queue by its last report.
    pub queued: Option<u32>,
}

impl Status {
    /// The status of the daemon that `context` belongs to.
    pub fn new(context: &Context) -> Status {
        let directory = context.directory.load();
        let upstreams = directory.upstreams().iter().map(|it| Upstream {
            name: it.name.clone(),
            address: it.address,
            zone: it.zone.clone(),
            incarnation: it.incarnation,
            alive: it.alive,
            leaving: it.leaving,
            running: it.load.as_ref().map(|load| load.running),
            queued: it.load.as_ref().map(|load| load.queued),
        });
        let live = context.members.live();
        let members = live.iter().map(|it| Member {
            daemon: it.member.daemon.clone(),
            zone: it.member.zone.clone(),
            incarnation: it.member.incarnation,
            caller: it.member.caller,
            operator: it.member.operator,
            leaving: it.member.leaving,
        });
        Status {
            deployment: context.settings.deployment.clone(),
            daemon: context.settings.daemon.clone(),
            zone: context.settings.zone.clone(),
            incarnation: context.incarnation,
            ready: context.ready.load(Ordering::Acquire),
            leaving: context.leaving.is_cancelled(),
            revision: context.catalog.load().revision(),
            members: members.collect(),
            upstreams: upstreams.collect(),
        }
    }
}

struct StatusPage;

#[async_trait]
impl Handler for StatusPage {
    async fn handle(&self, context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        server::json(StatusCode::OK, &Status::new(&context))
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/v1/status",
        handler: &StatusPage,
    }
}
