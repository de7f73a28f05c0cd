//! The decisions of one daemon about leases and orders: `(state, time, event) -> outcomes`.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    collections::Set,
    control::{
        charge::Charge,
        event::{Asker, Event, Outcome, Scope, View},
        lease::{self, Change, Holder, Lease},
        plan::{Census, Engine, Need, Plan},
        rollout::Readiness,
        shard::{self, Name},
        slot::Slot,
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream},
    },
    platform::table::{self, Row},
    upstream::wire::Weights,
};

/// The time between reads of all leases while few daemons do it.
pub const SCAN_EVERY: Duration = Duration::from_millis(5_000);

/// Each daemon adds this to [`SCAN_EVERY`], so that all together read at a bounded rate.
pub const SCAN_PER_DAEMON: Duration = Duration::from_millis(100);

/// The time between reads of the load leases while this daemon waits for one.
pub const SLOT_SCAN_EVERY: Duration = Duration::from_millis(1_000);

/// The time between two shards that a daemon with too many gives up.
pub const REBALANCE_EVERY: Duration = Duration::from_millis(30_000);

/// The state of one daemon.
#[derive(Debug)]
pub struct Core {
    me: Holder,
    pub(super) leases: BTreeMap<Name, Lease>,
    pub(super) slots: BTreeMap<Name, Slot>,
    pub(super) charges: BTreeMap<Upstream, Charge>,
    engines: Vec<Engine>,
    daemons: usize,
    needs: Vec<Need>,
    pub(super) plan: Plan,
    pub(super) census: Census,
    pub(super) settled: BTreeMap<Model, Time>,
    pub(super) viewed: Time,
    pub(super) scanning: bool,
    scan_at: Time,
    pub(super) slot_scan_at: Time,
    rebalance_at: Time,
    pub(super) stopping: bool,
}

impl Core {
    /// A daemon that knows nothing yet. At most `loads` engines load weights at once, over the
    /// whole fleet.
    pub fn new(me: Holder, loads: u16) -> Core {
        let slots = (0..loads).map(Name::Load);
        let leases = slots.map(|name| (name, Lease::new(name.key(), me.clone())));
        Core {
            leases: leases.collect(),
            me,
            slots: BTreeMap::new(),
            charges: BTreeMap::new(),
            engines: Vec::new(),
            daemons: 1,
            needs: Vec::new(),
            plan: Plan::default(),
            census: Census::default(),
            settled: BTreeMap::new(),
            viewed: Time::default(),
            scanning: false,
            scan_at: Time::default(),
            slot_scan_at: Time::default(),
            rebalance_at: Time::default(),
            stopping: false,
        }
    }

    /// The leases that it knows.
    pub fn leases(&self) -> impl Iterator<Item = (Name, &Lease)> {
        self.leases.iter().map(|(name, lease)| (*name, lease))
    }

    /// How many engines have weights ready.
    pub fn readiness(&self, weights: &Weights) -> Readiness {
        self.plan.readiness(weights, &self.engines)
    }

    /// From now on it takes no lease, and gives up those that it has.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether it holds no lease.
    pub fn is_idle(&self) -> bool {
        self.leases.values().all(|it| it.tenure().is_none() && !it.is_busy())
    }

    /// Takes an event and returns what to do. `random` is a fresh random number.
    pub fn step(&mut self, now: Time, random: u64, event: Event) -> Vec<Outcome> {
        self.apply(now, event);
        let mut outcomes = Vec::new();
        self.scan(now, random, &mut outcomes);
        self.hold(now, &mut outcomes);
        self.take_shards(now, random, &mut outcomes);
        self.give_up_shards(now, &mut outcomes);
        self.command(now, &mut outcomes);
        self.tend_slots(now, &mut outcomes);
        outcomes
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => (),
            Event::View(view) => self.view(now, view),
            Event::Scanned { scope, rows } => self.scanned(now, scope, rows.as_deref()),
            Event::Written { name, result } => self.written(now, name, &result),
            Event::Observed { asker: Asker::Slot, upstream, asked, state } => {
                let idle = state.is_some_and(|it| it.loading.is_empty());
                for slot in self.slots.values_mut().filter(|_| idle) {
                    slot.drained(&upstream, asked);
                }
            }
            Event::Observed { asker: Asker::Charge, upstream, asked, state } => {
                if let Some(charge) = self.charges.get_mut(&upstream) {
                    charge.observe(now, asked, state);
                }
            }
            Event::Obeyed { upstream, result } => {
                if let Some(charge) = self.charges.get_mut(&upstream) {
                    charge.obeyed(now, result);
                }
            }
        }
    }

    fn view(&mut self, now: Time, view: View) {
        self.daemons = view.daemons;
        self.viewed = now;
        if self.needs != view.needs {
            self.needs = view.needs;
            // Other daemons may still act on the needs before.
            self.settled.clear();
        } else if self.engines == view.engines {
            return;
        }
        self.engines = view.engines;
        self.replan(now);
    }

    /// Engines or needs changed.
    fn replan(&mut self, now: Time) {
        self.plan = Plan::new(&self.needs, &self.engines);
        self.census = Census::new(&self.engines);
        for engine in &self.engines {
            let name = Name::Shard(shard::shard(&engine.name));
            let lease = || Lease::new(name.key(), self.me.clone());
            self.leases.entry(name).or_insert_with(lease);
            match self.charges.get_mut(&engine.name) {
                Some(charge) => charge.engine = engine.clone(),
                None => drop(self.charges.insert(engine.name.clone(), Charge::new(engine.clone()))),
            }
        }
        let mut before = std::mem::take(&mut self.settled);
        let mut models: Vec<_> = self.needs.iter().map(|it| &it.weights.model).collect();
        models.dedup();
        for model in models {
            if !self.plan.is_settled(model, &self.engines) {
                continue;
            }
            let since = before.remove(model).unwrap_or(now);
            self.settled.insert(model.clone(), since);
        }
        let known: Set<_> = self.engines.iter().map(|it| &it.name).collect();
        self.charges.retain(|name, charge| charge.is_busy() || known.contains(name));
    }

    fn scanned(&mut self, now: Time, scope: Scope, rows: Option<&[Row]>) {
        self.scanning = false;
        let Some(rows) = rows else {
            self.scan_at = self.scan_at.min(now + lease::RETRY_AFTER);
            return;
        };
        let rows: BTreeMap<_, _> = rows.iter().map(|it| (it.key.as_str(), it)).collect();
        let names: Vec<_> = self.leases.keys().copied().collect();
        for name in names {
            if scope == Scope::Loads && matches!(name, Name::Shard(_)) {
                continue;
            }
            let Some(lease) = self.leases.get_mut(&name) else {
                continue;
            };
            let row = rows.get(lease.key()).copied();
            let change = lease.observe(now, row);
            self.changed(now, name, change);
        }
    }

    fn written(&mut self, now: Time, name: Name, result: &Result<table::Outcome, table::Failure>) {
        let Some(lease) = self.leases.get_mut(&name) else {
            return;
        };
        let change = lease.answer(now, result);
        self.changed(now, name, change);
    }

    fn changed(&mut self, now: Time, name: Name, change: Change) {
        match change {
            Change::None => (),
            Change::Unsettled => self.scan_at = now + lease::RETRY_AFTER,
            Change::Lost => drop(self.slots.remove(&name)),
            Change::Taken => {
                let Some(lease) = self.leases.get(&name) else {
                    return;
                };
                let (Name::Load(_), Some(usage), Some(tenure)) =
                    (name, lease.usage(), lease.tenure())
                else {
                    return;
                };
                let slot = Slot::new(usage.upstream.clone(), tenure.taken, tenure.before.clone());
                self.slots.insert(name, slot);
            }
        }
    }

    fn scan(&mut self, now: Time, random: u64, outcomes: &mut Vec<Outcome>) {
        if self.scanning {
            return;
        }
        if now >= self.scan_at {
            let every = SCAN_EVERY + SCAN_PER_DAEMON * self.daemons as u32;
            // Half to whole, so that daemons started together drift apart.
            let jitter = every.mul_f64(0.5 * (random % 1_024) as f64 / 1_024.0);
            self.scan_at = now + every - jitter;
            self.slot_scan_at = now + SLOT_SCAN_EVERY;
            self.scanning = true;
            outcomes.push(Outcome::Scan(Scope::All));
        }
    }

    fn hold(&mut self, now: Time, outcomes: &mut Vec<Outcome>) {
        for (name, lease) in &mut self.leases {
            if let Some(transaction) = lease.renew(now) {
                outcomes.push(Outcome::Write { name: *name, transaction });
            }
        }
    }

    fn shards(&self) -> usize {
        let names = self.leases.keys();
        names.filter(|it| matches!(it, Name::Shard(_))).count()
    }

    fn held_shards(&self) -> usize {
        let leases = self.leases.iter();
        let held = leases.filter(|(name, lease)| {
            matches!(name, Name::Shard(_)) && (lease.tenure().is_some() || lease.is_busy())
        });
        held.count()
    }

    fn take_shards(&mut self, now: Time, random: u64, outcomes: &mut Vec<Outcome>) {
        if self.stopping {
            return;
        }
        let share = shard::share(self.shards(), self.daemons);
        let mut held = self.held_shards();
        // Daemons start at different places, so that they rarely race for one lease.
        let start = Name::Shard((random % u64::from(shard::SHARDS)) as u16);
        let first = self.leases.range(start..).map(|(name, _)| *name);
        let rest = self.leases.range(..start).map(|(name, _)| *name);
        let names: Vec<_> = first.chain(rest).collect();
        for name in names {
            let Some(lease) = self.leases.get_mut(&name) else {
                continue;
            };
            if !matches!(name, Name::Shard(_)) || !lease.is_open(now) {
                continue;
            }
            if held >= share && !lease.is_orphan(now) {
                continue;
            }
            held += 1;
            let transaction = lease.take(now, None);
            outcomes.push(Outcome::Write { name, transaction });
        }
    }

    fn give_up_shards(&mut self, now: Time, outcomes: &mut Vec<Outcome>) {
        let share = shard::share(self.shards(), self.daemons);
        let too_many = self.held_shards() > share && now >= self.rebalance_at;
        if !too_many && !self.stopping {
            return;
        }
        for (name, lease) in &mut self.leases {
            if !matches!(name, Name::Shard(_)) {
                continue;
            }
            let Some(transaction) = lease.release(now) else {
                continue;
            };
            outcomes.push(Outcome::Write { name: *name, transaction });
            self.rebalance_at = now + REBALANCE_EVERY;
            if !self.stopping {
                return;
            }
        }
    }
}
