//! The weights that requests are served by while a change of weights is under way.
//!
//! A change of version or adapter is in force for a request once enough engines have the new
//! weights ready; until then the workspace is served by the old ones, which its engines keep. A
//! daemon never goes back: what it served last, or newer. A workspace that is new to this
//! daemon gets what the catalog says at once.

use arc_swap::ArcSwap;

use crate::{
    catalog::{Grant, Snapshot, Target},
    collections::Map,
    kernel::id::{Adapter, Model, Version, Workspace},
    upstream::wire::Weights,
};

/// What a workspace is served by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Served {
    /// The adapter.
    pub adapter: Option<Adapter>,
    /// The version of the weights.
    pub version: Version,
}

/// How many engines have weights ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// None.
    Nowhere,
    /// Some.
    Somewhere,
    /// As many as must, before others may go.
    Enough,
}

type Table = Map<(Workspace, Model), Served>;

/// What each workspace is served by, read on the path of a request.
#[derive(Debug, Default)]
pub struct Rollout {
    served: ArcSwap<Table>,
}

impl Rollout {
    /// Puts into a grant what its workspace is served by now.
    pub fn resolve(&self, grant: &mut Grant) {
        let Target::Model { model, adapter, version, .. } = &mut grant.target else {
            return;
        };
        let served = self.served.load();
        let Some(served) = served.get(&(grant.workspace.clone(), model.clone())) else {
            return;
        };
        adapter.clone_from(&served.adapter);
        *version = served.version;
    }

    /// Goes on to the new weights where they are ready. Returns the workspaces that still wait.
    pub fn update(
        &self,
        catalog: &Snapshot,
        readiness: impl Fn(&Weights) -> Readiness,
    ) -> Vec<Workspace> {
        let before = self.served.load();
        let mut table = Table::default();
        let mut waiting = Vec::new();
        for grant in catalog.grants() {
            let Target::Model { model, adapter, version, .. } = &grant.target else {
                continue;
            };
            let key = (grant.workspace.clone(), model.clone());
            let asked = Served { adapter: adapter.clone(), version: *version };
            let served = match before.get(&key) {
                Some(old) if must_wait(model, old, &asked, &readiness) => {
                    waiting.push(grant.workspace.clone());
                    old.clone()
                }
                _ => asked,
            };
            table.insert(key, served);
        }
        if table != **before {
            self.served.store(table.into());
        }
        waiting
    }
}

fn must_wait(
    model: &Model,
    old: &Served,
    asked: &Served,
    readiness: &impl Fn(&Weights) -> Readiness,
) -> bool {
    if old == asked {
        return false;
    }
    let ready = |served: &Served| {
        readiness(&Weights {
            model: model.clone(),
            version: served.version,
            adapters: served.adapter.iter().cloned().collect(),
        })
    };
    ready(asked) != Readiness::Enough && ready(old) != Readiness::Nowhere
}
