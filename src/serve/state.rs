//! What the requests in progress share.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{Semaphore, oneshot};
use tokio_util::task::TaskTracker;

use crate::{
    admission::{Admission, Outcome, retry::Budgets},
    collections::Map,
    kernel::{
        context::Context,
        id::{Daemon, Incarnation, Request, Workspace},
    },
    request::{
        once::{Awake, Now},
        suspect::Table,
    },
};

/// Bytes of callers' bodies that a daemon holds at once.
pub const BODIES_BYTES: usize = 256 * 1024 * 1024;

/// The shared state of all requests in progress. Its locks are held for short decisions only.
pub struct State {
    admission: Mutex<Admission>,
    waiting: Mutex<Map<Request, oneshot::Sender<Outcome>>>,
    suspects: Mutex<Table>,
    awake: Mutex<Awake>,
    retries: Mutex<Budgets<Workspace>>,
    /// The memory for bodies, in KiB.
    pub bodies: Arc<Semaphore>,
    /// Requests under way, which must end before the process does.
    pub tasks: TaskTracker,
    /// Results of keyed requests being written, likewise.
    pub results: TaskTracker,
}

impl State {
    /// The state of a daemon that serves nothing yet.
    pub fn new(daemon: Daemon, incarnation: Incarnation, now: Now) -> State {
        State {
            admission: Mutex::new(Admission::new(daemon, incarnation)),
            waiting: Mutex::default(),
            suspects: Mutex::default(),
            awake: Mutex::new(Awake::new(now)),
            retries: Mutex::default(),
            bodies: Arc::new(Semaphore::new(BODIES_BYTES / 1024)),
            tasks: TaskTracker::new(),
            results: TaskTracker::new(),
        }
    }

    /// The limits.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    /// The requests that crashed upstreams.
    pub fn suspects(&self) -> MutexGuard<'_, Table> {
        lock(&self.suspects)
    }

    /// Whether the process was paused.
    pub fn awake(&self) -> MutexGuard<'_, Awake> {
        lock(&self.awake)
    }

    /// The retry budgets of the workspaces.
    pub fn retries(&self) -> MutexGuard<'_, Budgets<Workspace>> {
        lock(&self.retries)
    }

    /// Waits for the outcome of a queued request. To be called before it is offered.
    pub fn wait(&self, request: Request) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(request, sender);
        receiver
    }

    /// Stops waiting for an outcome.
    pub fn forget(&self, request: Request) {
        lock(&self.waiting).remove(&request);
    }

    /// Hands the outcomes of queued requests to those who wait for them.
    pub fn tell(&self, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            let (Outcome::Admitted(request) | Outcome::Refused { request, .. }) = outcome;
            let Some(sender) = lock(&self.waiting).remove(&request) else {
                continue;
            };
            // One that is gone gives its slot back when it is dropped.
            let _ = sender.send(outcome);
        }
    }
}

/// The time on both clocks.
pub fn now(context: &Context) -> Now {
    Now { time: context.now(), wall_s: context.clock.wall_micros() / 1_000_000 }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}
