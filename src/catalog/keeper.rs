//! Holds the configuration in force and the latest changes that led to it.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    catalog::{
        Catalog, Instance,
        change::{Edit, Entry},
    },
    kernel::id::Revision,
};

/// Changes that a daemon keeps for its peers.
pub const HISTORY_ENTRIES: usize = 512;

/// The configuration in force in one daemon. It moves only towards higher revisions.
#[derive(Debug, Default)]
pub struct Keeper {
    catalog: Option<Arc<Catalog>>,
    history: VecDeque<Entry>,
}

/// What a peer needs to come up to date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Update {
    /// The changes after its revision, oldest first.
    Entries(Vec<Entry>),
    /// The whole configuration, where the changes are no longer kept.
    Whole(Arc<Catalog>),
}

impl Keeper {
    /// The configuration in force; `None` until one was confirmed by the table or a peer.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<Revision> {
        self.catalog.as_ref().map(|it| it.revision)
    }

    /// Applies the changes that follow the revision in force, and passes over older ones and
    /// those after a gap. Tells whether the revision rose.
    pub fn advance(&mut self, entries: &[Entry]) -> bool {
        let Some(catalog) = &self.catalog else {
            return false;
        };
        let before = catalog.revision;
        let mut next: Option<Catalog> = None;
        for entry in entries {
            let current = next.as_ref().map_or(before, |it| it.revision);
            if entry.revision.0 != current.0 + 1 {
                continue;
            }
            let next = next.get_or_insert_with(|| Catalog::clone(catalog));
            next.apply(entry);
            self.history.push_back(entry.clone());
        }
        while self.history.len() > HISTORY_ENTRIES {
            self.history.pop_front();
        }
        let Some(next) = next else { return false };
        assert!(next.revision > before, "a configuration reverted");
        self.catalog = Some(Arc::new(next));
        true
    }

    /// Takes a whole configuration if it is newer than the one in force.
    pub fn adopt(&mut self, catalog: &Arc<Catalog>) -> bool {
        if self.revision().is_some_and(|it| it >= catalog.revision) {
            return false;
        }
        self.history.clear();
        self.catalog = Some(catalog.clone());
        true
    }

    /// Takes what is newer of an update. Tells whether the revision rose.
    pub fn take(&mut self, update: &Update) -> bool {
        match update {
            Update::Entries(entries) => self.advance(entries),
            Update::Whole(catalog) => self.adopt(catalog),
        }
    }

    /// What brings a peer from `revision` up to date, `None` if it is.
    pub fn update(&self, revision: Option<Revision>, limit: usize) -> Option<Update> {
        let catalog = self.catalog.as_ref()?;
        let Some(revision) = revision else {
            return Some(Update::Whole(catalog.clone()));
        };
        if revision >= catalog.revision {
            return None;
        }
        match self.after(revision) {
            Some(entries) => Some(Update::Entries(entries.take(limit).cloned().collect())),
            None => Some(Update::Whole(catalog.clone())),
        }
    }

    /// The kept changes after `revision`; `None` if some of them are kept no longer.
    fn after(&self, revision: Revision) -> Option<impl Iterator<Item = &Entry>> {
        let first = self.history.front()?.revision;
        if revision.0 + 1 < first.0 {
            return None;
        }
        Some(self.history.iter().filter(move |it| it.revision > revision))
    }
}

impl Catalog {
    /// Applies the change that made the next revision.
    ///
    /// # Panics
    ///
    /// If `entry` is not the change that follows.
    pub fn apply(&mut self, entry: &Entry) {
        assert!(
            entry.revision.0 == self.revision.0 + 1,
            "change {} does not follow revision {}",
            entry.revision,
            self.revision
        );
        for edit in &entry.edits {
            self.edit(edit);
        }
        self.revision = entry.revision;
    }

    /// Puts or removes one item.
    pub fn edit(&mut self, edit: &Edit) {
        match edit {
            Edit::PutTemplate(it) => put(&mut self.templates, it, |it| it.name.clone()),
            Edit::DeleteTemplate(name) => self.templates.retain(|it| it.name != *name),
            Edit::PutInstance(it) => {
                put(&mut self.instances, it, |it| (it.workspace.clone(), it.template.clone()))
            }
            Edit::DeleteInstance { workspace, template } => {
                let other = |it: &Instance| it.workspace != *workspace || it.template != *template;
                self.instances.retain(other);
            }
            Edit::PutCredential(it) => put(&mut self.credentials, it, |it| it.digest.clone()),
            Edit::DeleteCredential { digest } => {
                self.credentials.retain(|it| it.digest != *digest);
            }
        }
    }
}

/// Puts `item` at its place in a list ordered by `key`.
fn put<T: Clone, K: Ord>(list: &mut Vec<T>, item: &T, key: impl Fn(&T) -> K) {
    let wanted = key(item);
    match list.binary_search_by(|it| key(it).cmp(&wanted)) {
        Ok(place) => list[place] = item.clone(),
        Err(place) => list.insert(place, item.clone()),
    }
}
