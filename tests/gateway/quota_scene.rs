//! A simulated fleet whose daemons send requests of workspaces with quotas.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        context::Context,
        quota::{self, Ask, Quota, Terms, Unit, Verdict},
    },
    kernel::clock::Time,
    route::pool::name_hash,
};

use crate::simulation::{Fleet, TOLERANCE, ZONES};

const STEP: Duration = Duration::from_millis(10);

/// Daemons that are asked before one decides by itself.
const MAX_ASKED: usize = 3;

/// What is sent where.
#[derive(Clone, Copy, Debug)]
pub enum Callers {
    Nobody,
    /// All at one daemon.
    At(usize),
    /// Evenly at all.
    Everywhere,
    /// At the daemons of one zone, which is another one each second.
    Moving,
}

/// A workspace, and what its requests use.
pub struct Workspace {
    pub name: &'static str,
    pub quota: Quota,
    /// The amounts of its requests, in turn.
    pub amounts: &'static [u64],
    /// What was granted, and when.
    pub granted: VecDeque<(Time, f64)>,
    pub total: f64,
    /// What windows contained at most, as a part of the rule's bound.
    pub worst: f64,
    asked: usize,
    owed: f64,
}

impl Workspace {
    fn new(name: &'static str, quota: Quota, amounts: &'static [u64]) -> Workspace {
        let (granted, total, worst, asked, owed) = (VecDeque::new(), 0.0, 0.0, 0, 0.0);
        Workspace { name, quota, amounts, granted, total, worst, asked, owed }
    }

    pub fn hash(&self) -> u64 {
        name_hash(self.name)
    }

    /// What the rule allows in one window.
    pub fn bound(&self) -> f64 {
        let terms = Terms::new(self.quota, TOLERANCE);
        terms.allowed() + terms.tolerance()
    }

    fn record(&mut self, amount: f64, now: Time) {
        self.granted.push_back((now, amount));
        self.total += amount;
        while self.granted.front().is_some_and(|(at, _)| now.since(*at) >= TOLERANCE.window) {
            self.granted.pop_front();
        }
        let window: f64 = self.granted.iter().map(|(_, it)| it).sum();
        self.worst = self.worst.max(window / self.bound());
    }

    fn text(&self) -> String {
        let Quota { rate, burst, unit } = self.quota;
        let unit = if unit == Unit::Requests { "requests" } else { "tokens" };
        format!("{}:{rate}:{burst}:{unit}", self.name)
    }
}

/// A fleet and its load.
pub struct Scene {
    pub fleet: Fleet,
    pub daemons: usize,
    pub rng: StdRng,
    pub workspaces: Vec<Workspace>,
    pub callers: Callers,
    /// What is asked for, as a multiple of the rate.
    pub load: f64,
    pub frozen: Vec<bool>,
    /// Questions to other daemons.
    pub questions: u64,
}

impl Scene {
    /// A fleet in which nothing has been granted for longer than it takes bursts to be available.
    pub fn new(daemons: usize, seed: u64) -> Scene {
        let tokens = Unit::Tokens { unstated: 0 };
        let workspaces = vec![
            Workspace::new("clinic", Quota { rate: 40.0, burst: 40.0, unit: Unit::Requests }, &[1]),
            Workspace::new("annex", Quota { rate: 4.0, burst: 8.0, unit: Unit::Requests }, &[1]),
            Workspace::new(
                "archive",
                Quota { rate: 18_000.0, burst: 36_000.0, unit: tokens },
                &[826, 877, 9_199],
            ),
        ];
        let mut scene = Scene {
            fleet: Fleet::new(daemons, 4, seed),
            daemons,
            rng: StdRng::seed_from_u64(seed),
            workspaces,
            callers: Callers::Nobody,
            load: 2.0,
            frozen: vec![false; daemons],
            questions: 0,
        };
        scene.write_quotas();
        scene.run(Duration::from_secs(6));
        scene
    }

    /// Writes the quotas of the workspaces, which watchers read.
    pub fn write_quotas(&mut self) {
        let texts: Vec<_> = self.workspaces.iter().map(Workspace::text).collect();
        self.fleet.write_quotas(&texts.join(" "));
    }

    /// Forgets what was granted.
    pub fn begin(&mut self) {
        for workspace in &mut self.workspaces {
            workspace.granted.clear();
            (workspace.total, workspace.worst) = (0.0, 0.0);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for index in 0..self.workspaces.len() {
                self.send(index);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let step_s = STEP.as_secs_f64();
        self.workspaces[index].owed += self.workspaces[index].quota.rate * self.load * step_s;
        while self.workspaces[index].owed > 0.0 {
            let workspace = &mut self.workspaces[index];
            let amount = workspace.amounts[workspace.asked % workspace.amounts.len()];
            workspace.asked += 1;
            workspace.owed -= amount as f64;
            let daemon = match self.callers {
                Callers::Nobody => continue,
                Callers::At(daemon) => daemon,
                Callers::Everywhere => self.rng.random_range(0..self.daemons),
                Callers::Moving => {
                    let zone = (self.fleet.now.0 / 1_000_000) as usize % ZONES;
                    let number = self.rng.random_range(0..self.daemons.div_ceil(ZONES));
                    (number * ZONES + zone).min(self.daemons - 1)
                }
            };
            if self.request(daemon, index, amount) {
                let now = self.fleet.now;
                self.workspaces[index].record(amount as f64, now);
            }
        }
    }

    /// A daemon is asked for a request; returns whether it sends it to an upstream.
    fn request(&mut self, daemon: usize, workspace: usize, amount: u64) -> bool {
        let context = self.fleet.try_context(daemon).cloned();
        let Some(context) = context.filter(|_| !self.frozen[daemon]) else { return false };
        let hash = self.workspaces[workspace].hash();
        let document = context.document.load_full();
        // Without a document it serves nobody.
        let Some(document) = document else { return false };
        let Some(quota) = document.quota(hash) else { return false };
        let ask = Ask { workspace: hash, amount, quota, is_retry: false };
        matches!(self.decide(daemon, &context, &ask), Verdict::Granted(_))
    }

    fn decide(&mut self, daemon: usize, context: &Arc<Context>, ask: &Ask) -> Verdict {
        let (own, plan) = (context.settings.daemon.as_str(), context.plan.load_full());
        for name in quota::issuers(own, &plan, ask.workspace).into_iter().take(MAX_ASKED) {
            if name == own {
                return quota::decide(context, ask);
            }
            let (hash, now) = (name_hash(name), context.now());
            if context.quotas().is_silent(hash, now) {
                continue;
            }
            self.questions += 1;
            let issuer = self.fleet.index(name);
            if self.fleet.connects(daemon, issuer) {
                return quota::decide(self.fleet.context(issuer), ask);
            }
            context.quotas().record_silence(hash, now);
        }
        quota::decide_alone(context, ask)
    }

    /// The daemon that issues the quota of a workspace, as seen by a majority.
    pub fn issuer(&self, workspace: usize) -> usize {
        let hash = self.workspaces[workspace].hash();
        let mut votes = vec![0; self.daemons];
        for context in self.fleet.contexts() {
            let plan = context.plan.load();
            let own = context.settings.daemon.as_str();
            votes[self.fleet.index(quota::issuers(own, &plan, hash)[0])] += 1;
        }
        (0..self.daemons).max_by_key(|it| votes[*it]).expect("a daemon")
    }

    pub fn freeze(&mut self, daemon: usize, is_frozen: bool) {
        self.frozen[daemon] = is_frozen;
        self.fleet.freeze(daemon, is_frozen);
    }

    /// The rule: no window exceeds its bound.
    pub fn assert_kept(&self, what: &str) {
        for Workspace { name, worst, total, .. } in &self.workspaces {
            eprintln!("{} daemons, {what}, {name}: {worst:.3} of the bound, {total}", self.daemons);
        }
        for Workspace { name, worst, .. } in &self.workspaces {
            assert!(*worst <= 1.0, "{}, {what}, {name}: {worst} of the bound", self.daemons);
        }
    }
}
