//! Changes of the catalog: what an operator sends, and what the answer can be.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{
    catalog::{Credential, Instance, Template},
    kernel::id::{self, Revision, Workspace},
};

/// Edits that one change may have, so that its transaction stays small.
pub const MAX_EDITS: usize = 256;

/// The name of a change, chosen by the operator's tool: 32 hexadecimal digits as text. A change
/// that is sent again under the same name is applied once.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Id, Self::Err> {
        u128::from_str_radix(text, 16).map(Id)
    }
}

/// Edits that are accepted together or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Its name.
    pub id: Id,
    /// The revision that the operator saw.
    pub base: Revision,
    /// What to do, in order.
    pub edits: Vec<Edit>,
}

/// One step of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Add a template, or replace the one of that name.
    PutTemplate(Template),
    /// Remove a template, which must have no instances left.
    DeleteTemplate(id::Template),
    /// Add an instance, or replace that of the same workspace and template.
    PutInstance(Instance),
    /// Remove an instance.
    DeleteInstance {
        /// Its workspace.
        workspace: Workspace,
        /// Its template.
        template: id::Template,
    },
    /// Add a credential, or give it to another workspace.
    PutCredential(Credential),
    /// Remove a credential.
    DeleteCredential {
        /// Its digest.
        digest: String,
    },
}

/// What an edit is about.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A template, by name.
    Template(id::Template),
    /// An instance.
    Instance {
        /// Its workspace.
        workspace: Workspace,
        /// Its template.
        template: id::Template,
    },
    /// A credential, by digest.
    Credential(String),
}

impl Edit {
    /// The item that it puts or removes.
    pub fn item(&self) -> Item {
        match self {
            Edit::PutTemplate(it) => Item::Template(it.name.clone()),
            Edit::DeleteTemplate(name) => Item::Template(name.clone()),
            Edit::PutInstance(it) => {
                Item::Instance { workspace: it.workspace.clone(), template: it.template.clone() }
            }
            Edit::DeleteInstance { workspace, template } => {
                Item::Instance { workspace: workspace.clone(), template: template.clone() }
            }
            Edit::PutCredential(it) => Item::Credential(it.digest.clone()),
            Edit::DeleteCredential { digest } => Item::Credential(digest.clone()),
        }
    }
}

/// An accepted change with the revision that it made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The revision.
    pub revision: Revision,
    /// The name of the change.
    pub change: Id,
    /// Its edits.
    pub edits: Vec<Edit>,
}

/// The answer to an accepted change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
}

/// The answer to a change whose base is not the current revision. Nothing was applied. Without
/// items, the same edits can be sent again on the current revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Conflict {
    /// The revision that the change was made on.
    pub base: Revision,
    /// The current one.
    pub current: Revision,
    /// The items that both this change and another one since `base` touched.
    pub items: Vec<Clash>,
}

/// An item that two changes touched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clash {
    /// The item.
    pub item: Item,
    /// The edit of the change that came first, if it is still kept.
    pub theirs: Option<Edit>,
    /// The refused edit.
    pub yours: Edit,
}

/// The answer to a change with faults. Nothing was applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Invalid {
    /// One line for each fault.
    pub errors: Vec<String>,
}

/// Whether a change that got no proper answer was applied. It tells of this sending only: a
/// change whose earlier sending ended with [`Applied::Unknown`] stays unknown until it is accepted
/// or refused by a [`Conflict`] or as [`Invalid`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// It was not, and will not be.
    No,
    /// That is not known. Sending the change again under its name settles it.
    Unknown,
}

/// The answer to a change when the table service failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Unavailable {
    /// What was seen.
    pub error: String,
    /// Whether the change was applied.
    pub applied: Applied,
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It was applied.
    Accepted(Accepted),
    /// Another change came first.
    Conflict(Conflict),
    /// It has faults.
    Invalid(Invalid),
    /// The table service failed.
    Unavailable(Unavailable),
}
