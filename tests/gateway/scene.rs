//! Fixtures: engines and prompts.

use std::sync::Arc;

use tealturn::{
    gateway::{
        call::{Part, Prompt},
        roster::{Endpoint, Record, Roster},
    },
    kernel::id::{Build, Incarnation, Model, Service, Upstream, Version, Zone},
};

pub const MODEL: &str = "wiki";
pub const SERVICE: &str = "engines";

/// The build of an engine, unless its name or a test gives another.
pub const BUILD: &str = "v1";

/// The roster record of an engine that serves `version`.
pub fn record(number: u16, version: u64) -> Record {
    Record {
        service: Service::from(SERVICE),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        zone: Zone::from("a"),
        build: Build::from(BUILD),
        slots: 64,
        draining: false,
        incarnation: Incarnation(1),
        weights: vec![(Model::from(MODEL), Version(version))],
    }
}

pub fn name(number: u16) -> Upstream {
    Upstream::from(&*format!("engine-{number}"))
}

/// Engines that serve these versions, numbered from 0.
pub fn engines(versions: &[u64]) -> Vec<Arc<Endpoint>> {
    let mut roster = Roster::default();
    for (number, version) in versions.iter().enumerate() {
        roster.insert(&name(number as u16), record(number as u16, *version));
    }
    roster.view().service(&Service::from(SERVICE)).to_vec()
}

/// A long prompt whose second part is `subject` and whose last, unshared part is `own`.
pub fn prompt(subject: u64, own: u64) -> Prompt {
    Prompt {
        model: Model::from(MODEL),
        tokens: 9_190,
        max_output: 10,
        parts: vec![
            Part { hash: 1, tokens: 2_520 },
            Part { hash: subject, tokens: 3_780 },
            Part { hash: own, tokens: 2_890 },
        ],
    }
}
