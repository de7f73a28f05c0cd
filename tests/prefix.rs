//! Tests that equal prefixes of one owner have equal hashes, and that owners share no hashes.

use tealturn::{
    kernel::id::{Adapter, Version},
    prefix::{BLOCK_BYTES, Chain, Owner},
};

fn owner() -> Owner {
    Owner {
        workspace: "notary".into(),
        model: "assistente".into(),
        adapter: None,
        version: Version(1),
    }
}

struct Case {
    name: &'static str,
    change: fn(&mut Owner),
}

const OWNERS: &[Case] = &[
    Case { name: "workspace", change: |it| it.workspace = "clinic".into() },
    Case { name: "model", change: |it| it.model = "counter".into() },
    Case { name: "adapter", change: |it| it.adapter = Some(Adapter::from("law")) },
    Case { name: "version", change: |it| it.version = Version(2) },
    Case {
        name: "same concatenation of fields",
        change: |it| {
            it.workspace = "notarya".into();
            it.model = "ssistente".into();
        },
    },
];

#[test]
fn different_owners_share_no_hashes() {
    let prompt = vec![b'x'; BLOCK_BYTES * 8];
    let own = Chain::new(&owner().salt(), &prompt);
    for case in OWNERS {
        let mut other = owner();
        (case.change)(&mut other);
        let other = Chain::new(&other.salt(), &prompt);
        assert!(own.0.iter().all(|hash| !other.0.contains(hash)), "{}", case.name);
    }
}

#[test]
fn only_the_common_prefix_shares_hashes() {
    let salt = owner().salt();
    let mut prompt = vec![b'x'; BLOCK_BYTES * 8];
    let first = Chain::new(&salt, &prompt);
    prompt[BLOCK_BYTES * 5] = b'y';
    let second = Chain::new(&salt, &prompt);
    assert_eq!(first.0[..5], second.0[..5]);
    for index in 5..8 {
        assert_ne!(first.0[index], second.0[index], "block {index}");
    }
}
