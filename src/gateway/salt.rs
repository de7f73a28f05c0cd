//! The salts under which engines cache prompts.
//!
//! Workspaces that share their cached prompts use the salt of their group; an isolated one uses its own.
//! The group's salt names the workspaces outside of it. When one of its members becomes isolated, the
//! group gets another salt, under which that member has cached nothing. A salt follows from the document
//! alone, so daemons agree on it without exchanging anything. See docs/design/salts.md.

use std::{fmt::Write, sync::Arc};

use crate::{
    collections::{Map, Set},
    kernel::id::{Model, Version, Workspace},
    route::pool::name_hash,
};

/// Whose cached prompts a call may use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Owner {
    /// The last part of its salts; differs from that of any other owner.
    label: String,
    /// Whether it is a single workspace.
    is_isolated: bool,
}

impl Owner {
    /// An isolated workspace.
    pub fn isolated(workspace: &Workspace) -> Owner {
        Owner { label: escape(workspace.as_str()), is_isolated: true }
    }

    /// All workspaces except `isolated`. An escaped name has no dot, so that no workspace has the label
    /// of a group.
    fn group(isolated: &Set<Workspace>) -> Owner {
        let mut names: Vec<_> = isolated.iter().map(|it| escape(it.as_str())).collect();
        if names.is_empty() {
            return Owner::default();
        }
        names.sort_unstable();
        let digest = blake3::hash(names.join(".").as_bytes()).to_hex();
        Owner { label: format!(".{digest}"), is_isolated: false }
    }

    /// Whether it is a single workspace, which shares its cached prompts with no other.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Its number in estimates of what caches hold; 0 if no workspace is isolated.
    pub fn hash(&self) -> u64 {
        if self.label.is_empty() { 0 } else { name_hash(&self.label) }
    }

    /// The salt for prompts of a model at this version of its weights.
    pub fn salt(&self, model: &Model, version: Version) -> String {
        format!("{}.{version}.{}", escape(model.as_str()), self.label)
    }
}

/// The owners of cached prompts in a document.
#[derive(Debug, Default)]
pub struct Owners {
    isolated: Map<Workspace, Arc<Owner>>,
    group: Arc<Owner>,
}

impl Owners {
    /// The owners if these workspaces are isolated.
    pub fn new(isolated: &Set<Workspace>) -> Owners {
        let owner = |it: &Workspace| (it.clone(), Arc::new(Owner::isolated(it)));
        Owners {
            isolated: isolated.iter().map(owner).collect(),
            group: Arc::new(Owner::group(isolated)),
        }
    }

    /// The owner of the prompts of a workspace, or of calls without one.
    pub fn of(&self, workspace: Option<&Workspace>) -> &Arc<Owner> {
        workspace.and_then(|it| self.isolated.get(it)).unwrap_or(&self.group)
    }
}

/// Escapes dots and what a header can't carry unchanged. Different texts stay different.
fn escape(text: &str) -> String {
    if text.is_empty() {
        return "%".to_owned();
    }
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '.' | '%' | '\0'..=' ' | '\x7f' => {
                // Writing to a string can't fail.
                let _ = write!(escaped, "%{:02X}", u32::from(character));
            }
            _ => escaped.push(character),
        }
    }
    escaped
}
