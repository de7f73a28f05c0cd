//! Which engine should have which weights: a function of the catalog and the engines alone, so
//! that all daemons that know the same come to the same plan.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    catalog::{Catalog, Target},
    control::rollout::Readiness,
    kernel::id::{Adapter, Model, Upstream, Version},
    upstream::wire::{Role, Weights},
};

/// Of the replicas that a version should have, the share that must be ready before another
/// version's engines are taken from it, in percent.
pub const READY_PERCENT: usize = 75;

/// An engine, as far as the plan needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: Upstream,
    /// Where it serves.
    pub address: SocketAddr,
    /// The model that it was set up for.
    pub model: Model,
    /// Whether it refuses orders whose fencing number is old.
    pub fenced: bool,
    /// Whether it is alive and not leaving.
    pub open: bool,
    /// The weights that it has ready, by its last report.
    pub loaded: Vec<Weights>,
}

/// Weights that the catalog asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Need {
    /// The weights.
    pub weights: Weights,
    /// The engines that should have them; 0 for a share of those that nothing else needs.
    pub replicas: usize,
}

/// What an engine should be.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Goal {
    /// The weights that it should have, and no others.
    pub weights: Vec<Weights>,
    /// What it should be used for.
    pub role: Role,
}

/// The goal of each engine, and how many of them each need has. Engines of models that the
/// catalog does not mention have no goal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    goals: BTreeMap<Upstream, Goal>,
    places: Vec<(Need, usize)>,
}

/// How many open engines have which weights ready.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Census(Vec<(Weights, usize)>);

impl Census {
    /// Counts the weights of these engines.
    pub fn new(engines: &[Engine]) -> Census {
        let mut counts: Vec<(Weights, usize)> = Vec::new();
        let open = engines.iter().filter(|it| it.open);
        for weights in open.flat_map(|it| &it.loaded) {
            match counts.iter_mut().find(|(known, _)| known == weights) {
                Some((_, count)) => *count += 1,
                None => counts.push((weights.clone(), 1)),
            }
        }
        Census(counts)
    }

    /// The engines that have `weights` ready.
    pub fn count(&self, weights: &Weights) -> usize {
        let known = self.0.iter().find(|(known, _)| known == weights);
        known.map_or(0, |(_, count)| *count)
    }
}

/// The needs of a catalog, in a fixed order.
///
/// Templates and instances that use the same version of a model share its engines: the adapters
/// are put together, and the larger number of replicas counts.
pub fn needs(catalog: &Catalog) -> Vec<Need> {
    let mut found: BTreeMap<(Model, Version), (Vec<Adapter>, usize)> = BTreeMap::new();
    for template in &catalog.templates {
        let Target::Model { model, adapter, version, .. } = &template.target else {
            continue;
        };
        let instances = catalog.instances.iter();
        let own = instances.filter(|it| it.template == template.name);
        let versions = own.filter_map(|it| it.version).filter(|it| it != version);
        // An instance's own version has no number of replicas, since the template's is spent.
        let others = versions.map(|version| (version, 0));
        let wanted = std::iter::once((*version, template.replicas as usize));
        for (version, replicas) in wanted.chain(others) {
            let entry = found.entry((model.clone(), version)).or_default();
            entry.0.extend(adapter.clone());
            entry.1 = entry.1.max(replicas);
        }
    }
    let needs = found.into_iter();
    needs
        .map(|((model, version), (mut adapters, replicas))| {
            adapters.sort();
            adapters.dedup();
            let weights = Weights { model, version, adapters };
            Need { weights, replicas }
        })
        .collect()
}

impl Plan {
    /// Divides the engines among the needs.
    pub fn new(needs: &[Need], engines: &[Engine]) -> Plan {
        let mut plan = Plan::default();
        let mut models: BTreeMap<&Model, Vec<&Need>> = BTreeMap::new();
        for need in needs {
            models.entry(&need.weights.model).or_default().push(need);
        }
        for (model, needs) in models {
            let engines = engines.iter().filter(|it| it.open && it.model == *model);
            let mut engines: Vec<_> = engines.collect();
            // The order depends on the names only: a new version gets the engines of the old one.
            engines.sort_by_cached_key(|it| (rank(model, &it.name), it.name.clone()));
            plan.divide(&needs, &engines);
        }
        plan
    }

    /// What an engine should be.
    pub fn goal(&self, engine: &Upstream) -> Option<&Goal> {
        self.goals.get(engine)
    }

    /// Whether every need of `model` is ready on [`READY_PERCENT`] of its engines, so that
    /// weights outside the plan may go. `is_ready` tells whether an engine has weights ready.
    pub fn is_settled(&self, model: &Model, engines: &[Engine]) -> bool {
        let own = self.places.iter().filter(|(need, _)| need.weights.model == *model);
        for (need, places) in own {
            if !self.is_enough(need, *places, engines) {
                return false;
            }
        }
        true
    }

    /// How many engines have weights ready. Weights that the plan does not ask for are never
    /// ready enough.
    pub fn readiness(&self, weights: &Weights, engines: &[Engine]) -> Readiness {
        let mut places = self.places.iter();
        let place = places.find(|(need, _)| covers(&need.weights, weights));
        if place.is_some_and(|(need, places)| self.is_enough(need, *places, engines)) {
            return Readiness::Enough;
        }
        let mut open = engines.iter().filter(|it| it.open);
        let found = open.any(|it| it.loaded.iter().any(|it| covers(it, weights)));
        match found {
            true => Readiness::Somewhere,
            false => Readiness::Nowhere,
        }
    }

    fn is_enough(&self, need: &Need, places: usize, engines: &[Engine]) -> bool {
        let minimum = (places * READY_PERCENT).div_ceil(100);
        // An engine that the plan takes them from does not count: it may drop them next.
        let ready = engines.iter().filter(|it| {
            // The look-up comes last, since few engines have these weights.
            let ready = it.open && it.loaded.iter().any(|it| covers(it, &need.weights));
            ready && {
                let goal = self.goals.get(&it.name);
                goal.is_some_and(|goal| goal.weights.contains(&need.weights))
            }
        });
        ready.count() >= minimum
    }

    fn divide(&mut self, needs: &[&Need], engines: &[&Engine]) {
        for engine in engines {
            let standby = Goal { weights: Vec::new(), role: Role::Standby };
            self.goals.insert(engine.name.clone(), standby);
        }
        if engines.is_empty() {
            return;
        }
        let mut next = 0;
        for need in needs.iter().filter(|it| it.replicas > 0) {
            let places = need.replicas.min(engines.len());
            // Beyond the last engine it starts again: engines then have several weights.
            for place in next..next + places {
                self.put(engines[place % engines.len()], need);
            }
            next += places;
            self.places.push(((*need).clone(), places));
        }
        let rest: Vec<_> = needs.iter().filter(|it| it.replicas == 0).collect();
        let free = engines.get(next..).unwrap_or_default();
        let free = if free.is_empty() { engines } else { free };
        for (number, need) in rest.iter().enumerate() {
            let mut places = 0;
            for (place, engine) in free.iter().enumerate() {
                // With more needs than engines, engines have several.
                let share = if free.len() >= rest.len() {
                    place % rest.len() == number
                } else {
                    place == number % free.len()
                };
                if !share {
                    continue;
                }
                self.put(engine, need);
                places += 1;
            }
            self.places.push(((**need).clone(), places));
        }
    }

    fn put(&mut self, engine: &Engine, need: &Need) {
        let goal = self.goals.entry(engine.name.clone()).or_default();
        goal.role = Role::Serve;
        goal.weights.push(need.weights.clone());
    }
}

/// Whether weights that are loaded do for those that are asked for: they may have more adapters.
pub fn covers(loaded: &Weights, asked: &Weights) -> bool {
    let same = loaded.model == asked.model && loaded.version == asked.version;
    same && asked.adapters.iter().all(|it| loaded.adapters.contains(it))
}

fn rank(model: &Model, engine: &Upstream) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(engine.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
