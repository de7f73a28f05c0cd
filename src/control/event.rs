//! What the core takes and what it returns.

use std::net::SocketAddr;

use crate::{
    control::{
        charge::Rejection,
        plan::{Engine, Need},
        shard::Name,
    },
    kernel::{clock::Time, id::Upstream},
    platform::table::{self, Row, Transaction},
    upstream::wire::{Order, State},
};

/// Which leases a scan reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All.
    All,
    /// The load leases.
    Loads,
}

/// Who wants to know the state of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Asker {
    /// The daemon that gives it orders.
    Charge,
    /// The next holder of the load lease that was used for it.
    Slot,
}

/// What a daemon knows, all at one time: to act on new engines by an old catalog would be wrong.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The engines.
    pub engines: Vec<Engine>,
    /// How many daemons there are, this one included.
    pub daemons: usize,
    /// What the catalog asks for.
    pub needs: Vec<Need>,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// What is known was looked at again.
    View(View),
    /// The answer to a scan; `None` if there was none.
    Scanned {
        /// Which leases were read.
        scope: Scope,
        /// The rows.
        rows: Option<Vec<Row>>,
    },
    /// The answer to a write.
    Written {
        /// The lease.
        name: Name,
        /// The answer.
        result: Result<table::Outcome, table::Failure>,
    },
    /// The answer to a read of an engine's state.
    Observed {
        /// Who asked.
        asker: Asker,
        /// The engine.
        upstream: Upstream,
        /// When it was asked.
        asked: Time,
        /// The state, if the engine answered.
        state: Option<State>,
    },
    /// The answer to an order.
    Obeyed {
        /// The engine.
        upstream: Upstream,
        /// Its state, or why it did not obey.
        result: Result<State, Rejection>,
    },
}

/// What to do. Each is answered by an event, whatever happens.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Read rows of leases.
    Scan(Scope),
    /// Write a lease.
    Write {
        /// The lease.
        name: Name,
        /// The write.
        transaction: Transaction,
    },
    /// Read an engine's state.
    Read {
        /// Who asks.
        asker: Asker,
        /// The engine.
        upstream: Upstream,
        /// Where it serves.
        address: SocketAddr,
    },
    /// Send an order, if it is not yet `valid_until` right before that.
    Order {
        /// The engine.
        upstream: Upstream,
        /// Where it serves.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Whether it starts a load of weights.
        loads: bool,
        /// When the right to give it ends.
        valid_until: Time,
    },
}
