//! The queues of all services, and the delivery of decisions to the calls that wait.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::{
    collections::Map,
    gateway::{
        peer::Totals,
        room::{
            Event, Outcome, Queue, Ticket,
            engine::{Engines, Fleet},
        },
    },
    kernel::{
        clock::{Clock, Time},
        id::{Request, Service},
    },
};

/// The waiting calls of one service.
#[derive(Debug, Default)]
struct Line {
    queue: Queue,
    calls: Map<Request, UnboundedSender<Outcome>>,
}

/// The waiting calls of a daemon, and what it knows of engines whose memory it shares.
#[derive(Debug, Default)]
pub struct Services {
    lines: Mutex<Map<Service, Line>>,
    engines: Mutex<Engines>,
}

/// The place of a call in the queue of its service, which it leaves on drop.
pub struct Place {
    services: Arc<Services>,
    clock: Arc<dyn Clock>,
    service: Service,
    request: Request,
    outcomes: UnboundedReceiver<Outcome>,
}

impl Services {
    /// Adds a call to the queue of its service.
    pub fn enter(
        self: &Arc<Services>,
        service: &Service,
        ticket: Ticket,
        clock: &Arc<dyn Clock>,
    ) -> Place {
        let (sender, outcomes) = mpsc::unbounded_channel();
        let request = ticket.request;
        let mut lines = self.lines();
        lines.entry(service.clone()).or_default().calls.insert(request, sender);
        drop(lines);
        self.report(service, Event::Arrived(ticket), clock.now());
        Place {
            services: self.clone(),
            clock: clock.clone(),
            service: service.clone(),
            request,
            outcomes,
        }
    }

    /// Takes in an event of a service in which calls have waited, and passes on what follows.
    pub fn report(&self, service: &Service, event: Event, now: Time) {
        let mut lines = self.lines();
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        if let Event::Began(request) | Event::Left(request) = &event {
            line.calls.remove(request);
        }
        for outcome in line.queue.decide(event, now, rand::random()) {
            let (Outcome::Offer { request, .. } | Outcome::Refuse { request, .. }) = outcome;
            if let Some(call) = line.calls.get(&request) {
                // A call that has just left reports that itself.
                let _ = call.send(outcome);
            }
        }
    }

    /// The number of calls that wait for a service.
    pub fn waiting(&self, service: &Service) -> usize {
        self.lines().get(service).map_or(0, |it| it.queue.len())
    }

    /// Records that an engine rejected a prompt of this size.
    pub fn reject(&self, engine: u64, tokens: u64, now: Time) {
        self.engines().reject(engine, tokens, now);
    }

    /// What is known of the engines, with the latest reports of other daemons.
    pub fn observe(&self, peers: &Totals, fleet: Fleet, now: Time) -> MutexGuard<'_, Engines> {
        let mut engines = self.engines();
        engines.observe(peers, fleet, now);
        engines
    }

    fn lines(&self) -> MutexGuard<'_, Map<Service, Line>> {
        self.lines.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn engines(&self) -> MutexGuard<'_, Engines> {
        self.engines.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Place {
    /// The next decision on the call. It may be awaited again after it was cancelled.
    pub async fn decision(&mut self) -> Option<Outcome> {
        self.outcomes.recv().await
    }

    /// Reports an event of the call's service.
    pub fn report(&self, event: Event) {
        self.services.report(&self.service, event, self.clock.now());
    }

    /// Records that the call begins.
    pub fn begin(self) {
        self.report(Event::Began(self.request));
    }

    /// Records that no upstream has room for the call, and which engine has the most free memory.
    pub fn find_no_room(&self, least_used: Option<u64>) {
        self.report(Event::NoRoom(self.request, least_used));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.report(Event::Left(self.request));
    }
}
