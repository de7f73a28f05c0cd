//! The platform's list of VMs, which lags behind what it describes.
//!
//! Protocol: `GET /vms` answers 200 with a JSON list of [`Entry`].

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    kernel::id::{Model, Service, Zone},
};

/// What runs on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A daemon of the router.
    Daemon {
        /// Where it listens for other daemons.
        peer: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// The model that it was set up for.
        model: Model,
        /// Whether it refuses orders whose fencing number is old.
        fenced: bool,
    },
    /// A plain service.
    Plain {
        /// The service's name.
        service: Service,
    },
    /// A store for exported KV cache.
    Kv,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It finishes what it has, and goes.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its name; a replacement has another one.
    pub name: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// What runs on it.
    pub role: Role,
    /// Whether it takes new work.
    pub state: State,
}

/// Access to the VM list.
#[async_trait]
pub trait List: Send + Sync {
    /// The list as the platform knows it.
    async fn entries(&self) -> Result<Vec<Entry>>;
}
