//! Settings: the examples are valid, and every fault of a file is told at once.

use std::{fs, path::Path};

use insta::assert_snapshot;
use tealturn::{Error, operate::apply::Document, settings::Settings};

struct Deployment {
    name: &'static str,
    zones: &'static [&'static str],
    loads: u16,
}

const DEPLOYMENTS: &[Deployment] = &[
    Deployment { name: "nortebraco", zones: &["sala-a", "sala-b", "sala-c"], loads: 2 },
    Deployment {
        name: "cascade",
        zones: &["seattle-hall", "pdx-hall", "spokane-hall", "tacoma-hall"],
        loads: 3,
    },
];

#[test]
fn examples_are_valid() {
    for deployment in DEPLOYMENTS {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        let folder = folder.join(deployment.name);
        let mut zones = Vec::new();
        let mut listeners = Vec::new();
        for number in 1..=7 {
            let file = folder.join(format!("daemon-{number}.yaml"));
            let settings = Settings::read(&file).expect("valid");
            assert_eq!(settings.deployment, deployment.name);
            assert_eq!(settings.weight_loads, deployment.loads);
            let listen = settings.listen;
            listeners.extend([listen.caller, listen.peer, listen.operator]);
            zones.push(settings.zone.as_str().to_owned());
        }
        listeners.sort();
        listeners.dedup();
        assert_eq!(listeners.len(), 21, "{}: addresses differ", deployment.name);
        for zone in deployment.zones {
            assert!(zones.iter().any(|it| it == zone), "{zone} has a daemon");
        }
        let catalog = fs::read_to_string(folder.join("catalog.yaml")).expect("readable");
        let document: Document = serde_saphyr::from_str(&catalog).expect("valid");
        assert!(!document.templates.is_empty());
    }
}

fn faults(text: &str) -> String {
    match Settings::parse("daemon.yaml", text) {
        Err(Error::Settings(faults)) => faults.join("\n"),
        Err(other) => panic!("another error: {other}"),
        Ok(_) => "valid".to_owned(),
    }
}

const VALID: &str = "\
deployment: nortebraco
daemon: daemon-1
zone: sala-a
listen:
  caller: 127.0.0.1:0
  peer: 127.0.0.1:0
  operator: 127.0.0.1:0
platform:
  table: 127.0.0.1:8000
  vms: 127.0.0.1:8000
";

#[test]
fn defaults_are_valid() {
    assert_eq!(faults(VALID), "valid");
}

#[test]
fn all_faults_are_told_at_once() {
    const FAULTY: &str = "\
deployment: norte braço!
daemon: 7
listen:
  caller: localhost:7000
  peer: 10.0.0.1:7001
  operator: 10.0.0.1:7001
  admin: 10.0.0.1:7003
platform:
  table: 10.0.0.9:0
seeds:
  - 10.0.0.2:7001
  - 10.0.0.3
policy: luck
address_lifetime_s: 0
weight_loads: many
log:
  format: xml
  filter: tealturn=loud
";
    assert_snapshot!(faults(FAULTY));
}

struct Case {
    name: &'static str,
    text: &'static str,
    fault: &'static str,
}

const CASES: &[Case] = &[
    Case { name: "empty", text: "", fault: "the file: found nothing, allowed is a mapping" },
    Case {
        name: "a list",
        text: "- a",
        fault: "the file: found a list of 1, allowed is a mapping",
    },
    Case { name: "cut off", text: "listen: {caller: ", fault: "not valid YAML" },
    Case { name: "a key twice", text: "daemon: a\ndaemon: b\n", fault: "not valid YAML" },
    Case {
        name: "an address that others cannot reach",
        text: "listen:\n  caller: 0.0.0.0:7000\n",
        fault: "daemon.yaml:2: listen.caller: found \"0.0.0.0:7000\", allowed is IP:PORT",
    },
    Case {
        name: "a mapping for a number",
        text: "weight_loads: {}\n",
        fault: "daemon.yaml:1: weight_loads: found a mapping, allowed is 1 to 64 (loads at once)",
    },
];

#[test]
fn faults_name_line_found_and_allowed() {
    for case in CASES {
        let told = faults(case.text);
        assert!(told.contains(case.fault), "{}: {told}", case.name);
    }
}
