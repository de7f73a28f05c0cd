//! Checks a catalog after an edit, and names every fault.

use crate::{
    catalog::{
        Catalog, Instance, Limits, Target, Template,
        change::{Edit, MAX_EDITS},
    },
    collections::{Map, Set},
    kernel::id,
};

/// Bytes that a name may have.
const MAX_NAME_BYTES: usize = 64;

/// Hexadecimal digits of a credential's digest.
const DIGEST_DIGITS: usize = 64;

/// The faults of `edits` on their own and of the catalog that they lead to; empty if there are
/// none.
pub fn faults(edits: &[Edit], catalog: &Catalog) -> Vec<String> {
    let mut faults = Vec::new();
    if edits.is_empty() {
        faults.push("edits: none given".to_owned());
    }
    if edits.len() > MAX_EDITS {
        faults.push(format!("edits: {} given, at most {MAX_EDITS} allowed", edits.len()));
    }
    let mut items = Set::default();
    for (place, edit) in edits.iter().enumerate() {
        let at = format!("edits[{place}]");
        if !items.insert(edit.item()) {
            faults.push(format!("{at}: a second edit of one item"));
        }
        check_edit(&at, edit, &mut faults);
    }
    check_catalog(catalog, &mut faults);
    faults
}

fn check_edit(at: &str, edit: &Edit, faults: &mut Vec<String>) {
    match edit {
        Edit::PutTemplate(it) => check_template(at, it, faults),
        Edit::DeleteTemplate(name) => check_name(at, "template", name.as_str(), faults),
        Edit::PutInstance(it) => {
            check_name(at, "workspace", it.workspace.as_str(), faults);
            check_name(at, "template", it.template.as_str(), faults);
            if let Some(limits) = &it.limits {
                check_limits(at, limits, faults);
            }
        }
        Edit::DeleteInstance { workspace, template } => {
            check_name(at, "workspace", workspace.as_str(), faults);
            check_name(at, "template", template.as_str(), faults);
        }
        Edit::PutCredential(it) => {
            check_name(at, "workspace", it.workspace.as_str(), faults);
            check_digest(at, &it.digest, faults);
        }
        Edit::DeleteCredential { digest } => check_digest(at, digest, faults),
    }
}

fn check_template(at: &str, template: &Template, faults: &mut Vec<String>) {
    check_name(at, "name", template.name.as_str(), faults);
    check_limits(at, &template.limits, faults);
    match &template.target {
        Target::Model { model, adapter, .. } => {
            check_name(at, "model", model.as_str(), faults);
            if let Some(adapter) = adapter {
                check_name(at, "adapter", adapter.as_str(), faults);
            }
        }
        Target::Service { service } => check_name(at, "service", service.as_str(), faults),
    }
}

fn check_limits(at: &str, limits: &Limits, faults: &mut Vec<String>) {
    if limits.concurrency == 0 {
        faults.push(format!("{at}: limits.concurrency: 0 given, at least 1"));
    }
    if limits.tokens_per_second == 0 {
        faults.push(format!("{at}: limits.tokens_per_second: 0 given, at least 1"));
    }
}

fn check_name(at: &str, field: &str, name: &str, faults: &mut Vec<String>) {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        faults.push(format!(
            "{at}: {field}: {name:?} given, 1 to {MAX_NAME_BYTES} of A-Z a-z 0-9 - . _ allowed"
        ));
    }
}

fn check_digest(at: &str, digest: &str, faults: &mut Vec<String>) {
    let allowed = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if digest.len() != DIGEST_DIGITS || !digest.bytes().all(allowed) {
        faults.push(format!(
            "{at}: digest: {digest:?} given, {DIGEST_DIGITS} lower-case hexadecimal digits needed"
        ));
    }
}

fn check_catalog(catalog: &Catalog, faults: &mut Vec<String>) {
    let templates: Map<&id::Template, &Template> =
        catalog.templates.iter().map(|it| (&it.name, it)).collect();
    let mut served = Map::default();
    for instance in &catalog.instances {
        let name = format!("instance {}/{}", instance.workspace, instance.template);
        let Some(template) = templates.get(&instance.template) else {
            faults.push(format!("{name}: there is no such template"));
            continue;
        };
        check_version(&name, instance, template, faults);
        let target = match &template.target {
            Target::Model { model, .. } => format!("model {model}"),
            Target::Service { service } => format!("service {service}"),
        };
        let earlier = served.insert((&instance.workspace, target.clone()), &instance.template);
        if let Some(earlier) = earlier {
            faults
                .push(format!("{name}: the workspace has {target} by template {earlier} already"));
        }
    }
}

fn check_version(name: &str, instance: &Instance, template: &Template, faults: &mut Vec<String>) {
    let is_service = matches!(template.target, Target::Service { .. });
    if is_service && instance.version.is_some() {
        faults.push(format!("{name}: a service has no version"));
    }
}
