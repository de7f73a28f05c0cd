//! `apply FILE`: puts the templates, instances and credentials of a YAML file as one change.

use std::{fs, path::PathBuf};

use async_trait::async_trait;
use clap::{ArgMatches, Args, Command, FromArgMatches};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    Error,
    catalog::{
        Catalog, Credential, Instance, Template,
        change::{Accepted, Applied, Change, Clash, Conflict, Edit, Id, Invalid, Unavailable},
    },
    kernel::id::{self, Revision, Workspace},
    operate::{
        Failure, Registration, Verb,
        session::{Reply, Session},
    },
};

#[derive(Args, Debug)]
struct Arguments {
    /// The file, with any of `templates`, `instances`, `credentials` and `remove`.
    #[arg(value_name = "FILE.yaml")]
    file: PathBuf,
    /// The revision that the change is made against; by default the one in force.
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
}

/// The file that `apply` takes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Templates to put.
    pub templates: Vec<Template>,
    /// Instances to put.
    pub instances: Vec<Instance>,
    /// Credentials to put.
    pub credentials: Vec<Secret>,
    /// What to remove.
    pub remove: Removal,
}

/// A credential, as text or as its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// The workspace that it stands for.
    pub workspace: Workspace,
    /// The credential itself. Only its digest leaves this process.
    #[serde(default)]
    pub secret: Option<String>,
    /// Its BLAKE3 digest, in place of `secret`: 64 hexadecimal digits.
    #[serde(default)]
    pub digest: Option<String>,
}

/// What a document removes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Removal {
    /// Templates, by name.
    pub templates: Vec<id::Template>,
    /// Instances.
    pub instances: Vec<InstanceKey>,
    /// Credentials, by digest.
    pub credentials: Vec<String>,
}

/// Names an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceKey {
    /// The workspace.
    pub workspace: Workspace,
    /// The template.
    pub template: id::Template,
}

impl Document {
    /// The edits, removals first.
    ///
    /// # Errors
    ///
    /// [`Failure::Invalid`] with a line for each credential that has not exactly one of `secret`
    /// and `digest`.
    fn edits(self) -> Result<Vec<Edit>, Failure> {
        let mut edits = Vec::new();
        let remove = self.remove;
        for InstanceKey { workspace, template } in remove.instances {
            edits.push(Edit::DeleteInstance { workspace, template });
        }
        edits.extend(remove.templates.into_iter().map(Edit::DeleteTemplate));
        let digests = remove.credentials.into_iter();
        edits.extend(digests.map(|digest| Edit::DeleteCredential { digest }));
        edits.extend(self.templates.into_iter().map(Edit::PutTemplate));
        edits.extend(self.instances.into_iter().map(Edit::PutInstance));
        let mut faults = Vec::new();
        for (place, secret) in self.credentials.into_iter().enumerate() {
            match secret.credential() {
                Some(credential) => edits.push(Edit::PutCredential(credential)),
                None => {
                    faults.push(format!("credentials[{place}]: give either `secret` or `digest`"))
                }
            }
        }
        if edits.is_empty() && faults.is_empty() {
            faults.push("the file changes nothing".to_owned());
        }
        if faults.is_empty() {
            return Ok(edits);
        }
        Err(Failure::Invalid(faults))
    }
}

impl Secret {
    fn credential(self) -> Option<Credential> {
        let digest = match (self.secret, self.digest) {
            (Some(secret), None) => blake3::hash(secret.as_bytes()).to_hex().to_string(),
            (None, Some(digest)) => digest,
            _ => return None,
        };
        Some(Credential { digest, workspace: self.workspace })
    }
}

struct ApplyVerb;

#[async_trait]
impl Verb for ApplyVerb {
    fn command(&self) -> Command {
        let about = "Puts what a file describes, all of it or nothing";
        Arguments::augment_args(Command::new("apply").about(about))
    }

    async fn run(&self, session: &Session, arguments: &ArgMatches) -> Result<String, Failure> {
        let invalid = |reason: String| Failure::Invalid(vec![reason]);
        let arguments =
            Arguments::from_arg_matches(arguments).map_err(|error| invalid(error.to_string()))?;
        let fault = |reason: String| invalid(format!("{}: {reason}", arguments.file.display()));
        let text = fs::read_to_string(&arguments.file).map_err(|error| fault(error.to_string()))?;
        let document: Document =
            serde_saphyr::from_str(&text).map_err(|error| fault(error.to_string()))?;
        let base = match arguments.base {
            Some(base) => Revision(base),
            None => session.get::<Catalog>("/v1/catalog").await?.revision,
        };
        let change = Change { id: Id(rand::random()), base, edits: document.edits()? };
        submit(session, &change).await
    }
}

/// How often a change is sent again, under its identifier, while its outcome is not known.
const RETRIES: usize = 2;

async fn submit(session: &Session, change: &Change) -> Result<String, Failure> {
    let mut unknown = false;
    for _ in 0..RETRIES {
        match attempt(session, change).await {
            Err(Failure::Unknown(_)) => unknown = true,
            // An earlier attempt may have been applied.
            Err(Failure::NotApplied(reason)) if unknown => return Err(Failure::Unknown(reason)),
            outcome => return outcome,
        }
    }
    attempt(session, change).await
}

async fn attempt(session: &Session, change: &Change) -> Result<String, Failure> {
    let reply = match session.post("/v1/catalog/changes", change).await {
        Ok(reply) => reply,
        Err(error @ Error::Connect { .. }) => return Err(Failure::NotApplied(error.to_string())),
        Err(error) => return Err(Failure::Unknown(error.to_string())),
    };
    outcome(&reply)
}

fn outcome(reply: &Reply) -> Result<String, Failure> {
    let text = || String::from_utf8_lossy(&reply.body).into_owned();
    match reply.status {
        StatusCode::OK => {
            let accepted: Accepted = serde_json::from_slice(&reply.body)
                .map_err(|error| Failure::Unknown(format!("{error} in {}", text())))?;
            Ok(format!("accepted as revision {}\n", accepted.revision))
        }
        StatusCode::CONFLICT => {
            let conflict = serde_json::from_slice::<Conflict>(&reply.body);
            let told = conflict.map_or_else(|_| text(), |it| describe(&it));
            Err(Failure::Conflict(told))
        }
        StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST => {
            let invalid = serde_json::from_slice::<Invalid>(&reply.body);
            let errors = invalid.map_or_else(|_| vec![text()], |it| it.errors);
            Err(Failure::Invalid(errors))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let Ok(body) = serde_json::from_slice::<Unavailable>(&reply.body) else {
                return Err(Failure::Unknown(text()));
            };
            match body.applied {
                Applied::No => Err(Failure::NotApplied(body.error)),
                Applied::Unknown => Err(Failure::Unknown(body.error)),
            }
        }
        status => Err(Failure::Unknown(format!("{status}: {}", text()))),
    }
}

/// Both sides of a conflict.
fn describe(conflict: &Conflict) -> String {
    let Conflict { base, current, items } = conflict;
    let mut text =
        format!("made on revision {base}, but {current} is in force; nothing was applied");
    if items.is_empty() {
        text.push_str("\nno item was changed by both: apply the file again");
    }
    for Clash { item, theirs, yours } in items {
        let theirs = theirs.as_ref().map_or("no longer known".to_owned(), json);
        text.push_str(&format!("\n{}\n  theirs: {theirs}\n  yours:  {}", json(item), json(yours)));
    }
    text
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

inventory::submit! { Registration(&ApplyVerb) }
