//! Puts the configuration that the callers need.

use std::net::SocketAddr;

use crate::{
    Result,
    catalog::{
        Catalog, Credential, Instance, Limits, Target, Template,
        change::{Accepted, Change, Edit, Id},
    },
    http::client::Client,
    kernel::id,
    load::traffic::Profile,
    standin::deployment::VERSION,
};

/// Limits that the load does not reach.
const LIMITS: Limits = Limits { priority: 1, concurrency: 1_024, tokens_per_second: 10_000_000 };

/// Puts templates, instances and credentials for all workspaces through the operators' page of
/// a daemon.
///
/// # Errors
///
/// Any [`crate::Error`] of the daemon.
pub async fn put(client: &Client, operator: SocketAddr, profile: &Profile) -> Result<Accepted> {
    let catalog: Catalog = client.get(operator, "/v1/catalog").await?;
    let edits = edits(profile);
    let name = format!("{} {}", profile.name, catalog.revision);
    let mut id = [0; 16];
    id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..16]);
    let change = Change { id: Id(u128::from_le_bytes(id)), base: catalog.revision, edits };
    client.post(operator, "/v1/catalog/changes", &change).await
}

/// What all workspaces need.
pub fn edits(profile: &Profile) -> Vec<Edit> {
    let model = Target::Model {
        model: profile.model.clone(),
        adapter: None,
        version: VERSION,
        billable: false,
    };
    let service = Target::Service { service: profile.service.clone() };
    let mut edits = Vec::new();
    let targets = [(profile.model.as_str(), model), (profile.service.as_str(), service)];
    for (name, target) in targets {
        edits.push(Edit::PutTemplate(Template {
            name: id::Template::from(name),
            target,
            limits: LIMITS,
            replicas: 0,
        }));
        for share in &profile.workspaces {
            edits.push(Edit::PutInstance(Instance {
                workspace: share.workspace.clone(),
                template: id::Template::from(name),
                limits: None,
                version: None,
            }));
        }
    }
    for share in &profile.workspaces {
        let credential = profile.credential(&share.workspace);
        edits.push(Edit::PutCredential(Credential {
            digest: blake3::hash(credential.as_bytes()).to_hex().to_string(),
            workspace: share.workspace.clone(),
        }));
    }
    edits
}
