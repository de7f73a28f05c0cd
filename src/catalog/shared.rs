//! The keeper as the daemon's components share it.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

use crate::{
    catalog::{
        Catalog,
        keeper::{Keeper, Update},
    },
    kernel::id::Revision,
};

/// The configuration in force, its history, and news of each new revision.
pub struct Shared {
    keeper: Mutex<Keeper>,
    news: watch::Sender<Option<Revision>>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared { keeper: Mutex::default(), news: watch::Sender::new(None) }
    }
}

impl Shared {
    /// The configuration in force, if one was confirmed.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog().cloned()
    }

    /// Its revision.
    pub fn revision(&self) -> Option<Revision> {
        self.lock().revision()
    }

    /// What brings a peer from `revision` up to date, if this daemon has it.
    pub fn update(&self, revision: Option<Revision>, limit: usize) -> Option<Update> {
        self.lock().update(revision, limit)
    }

    /// Changes the keeper; if that puts another configuration in force, `swap` is called with it
    /// before any other change.
    pub fn change(
        &self,
        change: impl FnOnce(&mut Keeper) -> bool,
        swap: impl FnOnce(&Catalog),
    ) -> Option<Arc<Catalog>> {
        let mut keeper = self.lock();
        if !change(&mut keeper) {
            return None;
        }
        let catalog = keeper.catalog().cloned()?;
        swap(&catalog);
        self.news.send_replace(Some(catalog.revision));
        Some(catalog)
    }

    /// Tells of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Option<Revision>> {
        self.news.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock().unwrap_or_else(|it| it.into_inner())
    }
}
