//! Changes of the configuration against a table with faults: one winner for each base, lost
//! answers settled by the change's name, truthful refusals.

#[path = "fake/table.rs"]
mod table;

use std::sync::Arc;

use table::{Fault, Memory};
use tealturn::{
    catalog::{
        Catalog, Credential, Instance, Limits, Target, Template,
        change::{Applied, Change, Edit, Id, Item, Verdict},
        edit::{Attempt, Step},
        keeper::{Keeper, Update},
        store::LOG_ENTRIES,
        sync::{self, Sync},
    },
    kernel::id::{Revision, Version},
};

const LIMITS: Limits = Limits { priority: 1, concurrency: 8, tokens_per_second: 10_000 };

fn template(name: &str, version: u64) -> Template {
    Template {
        name: name.into(),
        target: Target::Model {
            model: name.into(),
            adapter: None,
            version: Version(version),
            billable: false,
        },
        limits: LIMITS,
        replicas: 0,
    }
}

fn instance(workspace: &str, template: &str) -> Edit {
    Edit::PutInstance(Instance {
        workspace: workspace.into(),
        template: template.into(),
        limits: None,
        version: None,
    })
}

fn change(id: u128, base: u64, edits: Vec<Edit>) -> Change {
    Change { id: Id(id), base: Revision(base), edits }
}

/// One daemon: what it has in force, and its way to the table.
#[derive(Default)]
struct Daemon(Keeper);

impl Daemon {
    async fn change(&mut self, table: &Memory, change: &Change) -> Verdict {
        let mut attempt = Attempt::new(change.clone(), self.0.catalog().cloned());
        let mut step = attempt.start();
        loop {
            match step {
                Step::Call(call) => step = attempt.step(call.perform(table).await),
                Step::Done(done) => {
                    for update in &done.updates {
                        self.0.take(update);
                    }
                    return done.verdict;
                }
            }
        }
    }

    async fn poll(&mut self, table: &Memory) {
        let mut sync = Sync::new(self.0.revision());
        let mut step = sync.start();
        loop {
            match step {
                sync::Step::Call(call) => step = sync.step(call.perform(table).await),
                sync::Step::Entries(entries) => {
                    self.0.take(&Update::Entries(entries));
                    return;
                }
                sync::Step::Whole(catalog) => {
                    self.0.take(&Update::Whole(Arc::new(catalog)));
                    return;
                }
                sync::Step::Failed(_) => return,
            }
        }
    }

    fn catalog(&self) -> &Catalog {
        self.0.catalog().expect("a configuration in force")
    }
}

fn accepted(verdict: &Verdict) -> u64 {
    match verdict {
        Verdict::Accepted(it) => it.revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

#[tokio::test]
async fn accepted_changes_reach_another_daemon() {
    let table = Memory::default();
    let (mut one, mut two) = (Daemon::default(), Daemon::default());
    two.poll(&table).await;
    assert_eq!(two.0.revision(), Some(Revision(0)), "an empty table is revision 0");
    let put = vec![Edit::PutTemplate(template("law", 1)), instance("notary", "law")];
    assert_eq!(accepted(&one.change(&table, &change(1, 0, put)).await), 1);
    let delete = vec![
        Edit::DeleteInstance { workspace: "notary".into(), template: "law".into() },
        Edit::PutTemplate(template("law", 2)),
    ];
    assert_eq!(accepted(&one.change(&table, &change(2, 1, delete)).await), 2);
    two.poll(&table).await;
    let mut new = Daemon::default();
    new.poll(&table).await;
    assert_eq!(two.catalog(), one.catalog());
    assert_eq!(new.catalog(), one.catalog());
    assert!(one.catalog().instances.is_empty());
}

#[tokio::test]
async fn racing_edits_have_one_winner() {
    let table = Memory::default();
    let (mut one, mut two) = (Daemon::default(), Daemon::default());
    two.poll(&table).await;
    let first = change(1, 0, vec![Edit::PutTemplate(template("law", 1))]);
    accepted(&one.change(&table, &first).await);

    let same = change(2, 0, vec![Edit::PutTemplate(template("law", 9))]);
    let Verdict::Conflict(conflict) = two.change(&table, &same).await else {
        panic!("a change on an old base was accepted");
    };
    assert_eq!((conflict.base, conflict.current), (Revision(0), Revision(1)));
    assert_eq!(conflict.items.len(), 1);
    assert_eq!(conflict.items[0].item, Item::Template("law".into()));
    assert_eq!(conflict.items[0].theirs.as_ref(), first.edits.first());
    assert_eq!(conflict.items[0].yours, same.edits[0]);

    let other = change(3, 0, vec![Edit::PutTemplate(template("page", 1))]);
    let Verdict::Conflict(conflict) = two.change(&table, &other).await else {
        panic!("a change on an old base was accepted");
    };
    assert!(conflict.items.is_empty(), "it can be sent again on the current revision");
    let rebased = Change { base: conflict.current, ..other };
    assert_eq!(accepted(&two.change(&table, &rebased).await), 2);
}

struct Case {
    name: &'static str,
    /// Of the first commits, the last one first.
    faults: &'static [Fault],
    later: Fault,
    verdict: fn(&Verdict) -> bool,
    revision: u64,
}

const FAULTS: &[Case] = &[
    Case {
        name: "the answer is lost",
        faults: &[Fault::LostAnswer],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Accepted(it) if it.revision == Revision(1)),
        revision: 1,
    },
    Case {
        name: "the call is lost",
        faults: &[Fault::LostCall],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Accepted(it) if it.revision == Revision(1)),
        revision: 1,
    },
    Case {
        name: "all answers are lost",
        faults: &[Fault::LostAnswer, Fault::LostAnswer, Fault::LostAnswer],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Unavailable(it) if it.applied == Applied::Unknown),
        revision: 1,
    },
    Case {
        name: "all calls are lost",
        faults: &[Fault::LostCall, Fault::LostCall, Fault::LostCall],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Unavailable(it) if it.applied == Applied::Unknown),
        revision: 0,
    },
    Case {
        name: "refused at the commit",
        faults: &[Fault::Down],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Unavailable(it) if it.applied == Applied::No),
        revision: 0,
    },
    Case {
        name: "refused after a lost answer",
        faults: &[Fault::Down, Fault::Down, Fault::LostAnswer],
        later: Fault::None,
        verdict: |it| matches!(it, Verdict::Unavailable(it) if it.applied == Applied::Unknown),
        revision: 1,
    },
    Case {
        name: "down",
        faults: &[],
        later: Fault::Down,
        verdict: |it| matches!(it, Verdict::Unavailable(it) if it.applied == Applied::No),
        revision: 0,
    },
];

#[tokio::test]
async fn verdicts_are_true_under_faults() {
    for case in FAULTS {
        let table = Memory::default();
        let mut daemon = Daemon::default();
        table.push(case.faults);
        table.set(case.later);
        let edit = change(1, 0, vec![Edit::PutTemplate(template("law", 1))]);
        let verdict = daemon.change(&table, &edit).await;
        assert!((case.verdict)(&verdict), "{}: {verdict:?}", case.name);
        table.set(Fault::None);
        let mut witness = Daemon::default();
        witness.poll(&table).await;
        let revision = witness.0.revision();
        assert_eq!(revision, Some(Revision(case.revision)), "{}", case.name);

        // Sent again under its name, at another daemon, it is settled and applied once.
        let mut other = Daemon::default();
        let again = accepted(&other.change(&table, &edit).await);
        assert_eq!(again, 1, "{}", case.name);
        assert_eq!(table.commits(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn a_late_copy_of_a_settled_change_has_no_effect() {
    let table = Memory::default();
    let mut daemon = Daemon::default();
    table.push(&[Fault::LostCall; 3]);
    let edit = change(1, 0, vec![Edit::PutTemplate(template("law", 1))]);
    let mut attempt = Attempt::new(edit.clone(), None);
    let mut step = attempt.start();
    let mut late = None;
    while let Step::Call(call) = step {
        if let tealturn::catalog::store::Call::Commit(transaction) = &call {
            late = Some(transaction.clone());
        }
        step = attempt.step(call.perform(&table).await);
    }
    let rival = change(2, 0, vec![Edit::PutTemplate(template("law", 2))]);
    accepted(&daemon.change(&table, &rival).await);
    let verdict = daemon.change(&table, &edit).await;
    assert!(matches!(verdict, Verdict::Conflict(_)), "{verdict:?}");
    let late = tealturn::catalog::store::Call::Commit(late.unwrap());
    late.perform(&table).await;
    assert_eq!(table.commits(), 1, "a change refused as not applied took effect");
}

#[tokio::test]
async fn every_fault_of_a_change_is_named() {
    let table = Memory::default();
    let mut daemon = Daemon::default();
    let mut bad = template("law book", 1);
    bad.limits.concurrency = 0;
    let edits = vec![
        Edit::PutTemplate(bad),
        instance("notary", "none"),
        Edit::PutCredential(Credential { digest: "xyz".into(), workspace: "notary".into() }),
    ];
    let Verdict::Invalid(invalid) = daemon.change(&table, &change(1, 0, edits)).await else {
        panic!("accepted");
    };
    let errors = invalid.errors.join("\n");
    insta::assert_snapshot!(errors, @r#"
    edits[0]: name: "law book" given, 1 to 64 of A-Z a-z 0-9 - . _ allowed
    edits[0]: limits.concurrency: 0 given, at least 1
    edits[0]: model: "law book" given, 1 to 64 of A-Z a-z 0-9 - . _ allowed
    edits[2]: digest: "xyz" given, 64 lower-case hexadecimal digits needed
    instance notary/none: there is no such template
    "#);
    assert_eq!(table.commits(), 0);
}

#[test]
fn a_configuration_never_reverts() {
    let mut keeper = Keeper::default();
    let at = |revision| Arc::new(Catalog { revision: Revision(revision), ..Catalog::default() });
    assert!(keeper.take(&Update::Whole(at(5))));
    for revision in [0, 4, 5] {
        assert!(!keeper.take(&Update::Whole(at(revision))), "{revision}");
    }
    assert_eq!(keeper.revision(), Some(Revision(5)));
}

#[tokio::test]
async fn the_log_is_bounded() {
    let table = Memory::default();
    let mut daemon = Daemon::default();
    let mut old = Daemon::default();
    for revision in 0..LOG_ENTRIES + 10 {
        let edit = Edit::PutTemplate(template("law", revision));
        let change = change(u128::from(revision) + 1, revision, vec![edit]);
        accepted(&daemon.change(&table, &change).await);
        if revision == 3 {
            old.poll(&table).await;
        }
    }
    let rows = table.rows().len() as u64;
    assert_eq!(rows, LOG_ENTRIES * 2 + 2, "log, names, head and one item");
    old.poll(&table).await;
    assert_eq!(old.catalog(), daemon.catalog(), "one that the log no longer reaches");
}
