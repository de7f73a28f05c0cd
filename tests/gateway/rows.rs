//! Rows in the store that daemons of other builds wrote or will read.

use std::{fmt::Debug, mem, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tealturn::{
    gateway::{crash::Row, exchange::wire, member::Member, rollout::Lease},
    kernel::id::{Incarnation, Zone},
};

/// The rows of production commit ce03f73.
const MEMBER: &str = r#"{"incarnation":1764892800000000,"zone":"a","caller":"10.1.0.30:8782",
    "peer":"10.1.0.30:7340","cpu_millis":250,"leaving":false}"#;
const BAR: &str = r#"{"daemon":"front-sala-a-1","clearances":2,"last_crash_ms":1764892800123}"#;
const LEASE: &str =
    r#"{"holder":"front-sala-a-1","incarnation":1764892800000000,"fence":4294967298}"#;

/// Reads a row of the older build, and checks that the older one can read what is written in its place: it
/// needs all of its fields, and skips others.
fn read<T: Debug + DeserializeOwned + PartialEq + Serialize>(recorded: &str, expected: &T) {
    let read: T = serde_json::from_str(recorded).expect("a row of the older build");
    assert_eq!(&read, expected);
    let older: Value = serde_json::from_str(recorded).expect("a row");
    let mut written = serde_json::to_value(expected).expect("a row of this build");
    for (key, value) in older.as_object().expect("fields") {
        let found = written.get(key).unwrap_or_else(|| panic!("{key} is missing in {written}"));
        assert_eq!(mem::discriminant(found), mem::discriminant(value), "{key} in {written}");
        assert_eq!(found, value, "{key}");
    }
    written["a_field_of_later"] = serde_json::json!({"of": ["any", "kind"]});
    assert_eq!(&serde_json::from_value::<T>(written).expect("a row of a later build"), expected);
}

/// Guards against daemons that drop out of each other's view, bars that end and leases that are taken over twice
/// because another build wrote the row.
#[test]
fn rows_are_read_by_older_and_newer_builds() {
    let incarnation = Incarnation(1_764_892_800_000_000);
    read(
        MEMBER,
        &Member {
            incarnation,
            zone: Zone::from("a"),
            caller: ([10, 1, 0, 30], 8_782).into(),
            peer: ([10, 1, 0, 30], 7_340).into(),
            cpu_millis: 250,
            protocol: wire::FIRST_PROTOCOL,
            leaving: false,
        },
    );
    let daemon = "front-sala-a-1".to_owned();
    let last_crash = Duration::from_millis(1_764_892_800_123);
    read(BAR, &Row { daemon: daemon.clone(), clearances: 2, last_crash });
    read(LEASE, &Lease { holder: daemon, incarnation, fence: (1 << 32) + 2 });
}
