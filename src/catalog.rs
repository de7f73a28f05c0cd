//! The configuration that operators edit: templates, and their instances per workspace.

pub mod change;
pub mod edit;
pub mod keeper;
pub mod page;
pub mod poll;
pub mod shared;
pub mod store;
pub mod sync;
pub mod validate;

use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    kernel::id::{self, Adapter, Model, Revision, Service, Version, Workspace},
};

/// What an instance of a template serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Completions by a model.
    Model {
        /// The model.
        model: Model,
        /// The adapter, if any.
        #[serde(default)]
        adapter: Option<Adapter>,
        /// The version of the weights.
        version: Version,
        /// Whether each request is billed, and so runs at most once for its idempotency key.
        #[serde(default)]
        billable: bool,
    },
    /// Calls of a plain service, passed through.
    Service {
        /// The service.
        service: Service,
    },
}

/// A named set of parameters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Template {
    /// Its name.
    pub name: id::Template,
    /// What its instances serve.
    pub target: Target,
    /// The parameters of instances that set none.
    pub limits: Limits,
    /// Engines that should have the weights loaded; 0 leaves that to demand.
    #[serde(default)]
    pub replicas: u32,
}

/// What a workspace may use of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Served first when higher.
    pub priority: u8,
    /// Requests in progress at once, over all daemons.
    pub concurrency: u32,
    /// Prompt and answer tokens a second, over all daemons.
    pub tokens_per_second: u64,
}

/// A template put into use for a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The workspace.
    pub workspace: Workspace,
    /// The template.
    pub template: id::Template,
    /// Parameters in place of the template's, if any.
    #[serde(default)]
    pub limits: Option<Limits>,
    /// The version in place of the template's, if any.
    #[serde(default)]
    pub version: Option<Version>,
}

/// A workspace's credential. Only its digest is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Credential {
    /// The BLAKE3 digest of the credential: 64 hexadecimal digits.
    pub digest: String,
    /// The workspace that it stands for.
    pub workspace: Workspace,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// The revision.
    pub revision: Revision,
    /// All templates, by name.
    pub templates: Vec<Template>,
    /// All instances, by workspace and template.
    pub instances: Vec<Instance>,
    /// All credentials, by digest.
    pub credentials: Vec<Credential>,
}

/// What a caller's request resolves to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The caller's workspace.
    pub workspace: Workspace,
    /// What is served.
    pub target: Target,
    /// What the workspace may use of it.
    pub limits: Limits,
}

/// A [`Catalog`] arranged for look-ups on the path of a request.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    revision: Revision,
    credentials: Map<String, Workspace>,
    models: Map<(Workspace, Model), Grant>,
    services: Map<(Workspace, Service), Grant>,
}

impl Snapshot {
    /// Arranges `catalog`. An instance whose template is unknown grants nothing.
    pub fn new(catalog: &Catalog) -> Snapshot {
        let mut snapshot = Snapshot { revision: catalog.revision, ..Snapshot::default() };
        for credential in &catalog.credentials {
            snapshot.credentials.insert(credential.digest.clone(), credential.workspace.clone());
        }
        for instance in &catalog.instances {
            let template = catalog.templates.iter().find(|it| it.name == instance.template);
            let Some(template) = template else { continue };
            snapshot.insert(instance, template);
        }
        snapshot
    }

    /// The revision that it was made from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The workspace that a credential stands for.
    pub fn workspace(&self, credential: &str) -> Option<&Workspace> {
        let digest = blake3::hash(credential.as_bytes()).to_hex();
        self.credentials.get(digest.as_str())
    }

    /// What a workspace may use of a model.
    pub fn model(&self, workspace: &Workspace, model: &Model) -> Option<&Grant> {
        self.models.get(&(workspace.clone(), model.clone()))
    }

    /// What a workspace may use of a plain service.
    pub fn service(&self, workspace: &Workspace, service: &Service) -> Option<&Grant> {
        self.services.get(&(workspace.clone(), service.clone()))
    }

    /// All that workspaces may use of models.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.models.values()
    }

    fn insert(&mut self, instance: &Instance, template: &Template) {
        let workspace = instance.workspace.clone();
        let limits = instance.limits.unwrap_or(template.limits);
        let mut target = template.target.clone();
        if let (Target::Model { version, .. }, Some(own)) = (&mut target, instance.version) {
            *version = own;
        }
        let grant = Grant { workspace: workspace.clone(), target, limits };
        match &grant.target {
            Target::Model { model, .. } => {
                self.models.insert((workspace, model.clone()), grant);
            }
            Target::Service { service } => {
                self.services.insert((workspace, service.clone()), grant);
            }
        }
    }
}
