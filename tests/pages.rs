//! The operators' page names what the program has.

use std::{fs, path::Path};

use tealturn::operate;

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(path).expect("readable")
}

fn sources(folder: &Path, found: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("readable").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push_str(&fs::read_to_string(&path).expect("text"));
        }
    }
}

/// Names in quotes that start as metrics do.
fn metrics(text: &str) -> Vec<&str> {
    let names = text.split('"').filter(|it| it.starts_with("tealturn_"));
    let is_name = |it: &&str| it.bytes().all(|it| it.is_ascii_lowercase() || it == b'_');
    let mut names: Vec<_> = names.filter(is_name).collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn every_metric_is_on_the_page() {
    let mut code = String::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut code);
    let page = read("docs/OPERATIONS.md");
    let missing = metrics(&code).into_iter().filter(|it| !page.contains(*it));
    let missing: Vec<_> = missing.collect();
    assert!(missing.is_empty(), "not in docs/OPERATIONS.md: {missing:?}");
}

#[test]
fn every_verb_is_on_the_page() {
    let page = read("docs/OPERATIONS.md");
    for verb in operate::verbs() {
        let command = verb.command();
        let name = command.get_name();
        assert!(page.contains(&format!("| `{name}")), "{name}");
    }
}
