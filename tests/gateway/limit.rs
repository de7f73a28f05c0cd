//! Limits that upstreams name on their requests.

use std::time::Duration;

use tealturn::{
    gateway::limit::{Limit, Statement},
    kernel::clock::Time,
};

const START: Time = Time(10_000_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Answers overtake each other: one that was made before the upstream named its limit must not end it.
#[test]
fn only_an_answer_to_a_later_request_raises_or_ends_a_limit() {
    struct Case {
        what: &'static str,
        statement: Statement,
        sent_ms: u64,
        rate: Option<f64>,
        changes: bool,
    }
    let cases = [
        Case {
            what: "the same again",
            statement: Statement::Limited(2.0),
            sent_ms: 900,
            rate: Some(2.0),
            changes: false,
        },
        Case {
            what: "a lower one, whenever the request was sent",
            statement: Statement::Limited(0.5),
            sent_ms: 0,
            rate: Some(0.5),
            changes: true,
        },
        Case {
            what: "a higher one to a request sent before",
            statement: Statement::Limited(3.0),
            sent_ms: 1_400,
            rate: Some(2.0),
            changes: false,
        },
        Case {
            what: "a higher one",
            statement: Statement::Limited(3.0),
            sent_ms: 1_500,
            rate: Some(3.0),
            changes: true,
        },
        Case {
            what: "none to a request sent before",
            statement: Statement::Unlimited,
            sent_ms: 1_400,
            rate: Some(2.0),
            changes: false,
        },
        Case {
            what: "none",
            statement: Statement::Unlimited,
            sent_ms: 1_500,
            rate: None,
            changes: true,
        },
        Case {
            what: "one that can't be read",
            statement: Statement::Unknown,
            sent_ms: 1_900,
            rate: Some(2.0),
            changes: false,
        },
    ];
    for case in cases {
        let mut limit = Limit::default();
        assert!(limit.update(Statement::Limited(2.0), at(0), at(1_000)), "{}", case.what);
        let changes = limit.update(case.statement, at(case.sent_ms), at(2_000));
        assert_eq!((limit.rate, changes), (case.rate, case.changes), "{}", case.what);
    }
}

#[test]
fn an_upstream_that_never_named_a_limit_has_none_to_tell_of() {
    let mut limit = Limit::default();
    assert!(!limit.update(Statement::Unlimited, at(0), at(10)));
    assert!(!limit.update(Statement::Unknown, at(0), at(10)));
    assert_eq!(limit, Limit::default());
}

/// Daemons tell each other again and again, and what one heard last must win everywhere.
#[test]
fn of_two_reports_the_later_statement_counts() {
    let limit = |rate, ms| Limit { rate, heard_at: at(ms) };
    let mut known = limit(Some(1.0), 100);
    assert!(!known.merge(limit(None, 100)), "not later");
    assert!(!known.merge(limit(Some(1.0), 200)), "later, but the same");
    assert!(known.merge(limit(None, 300)));
    assert!(!known.merge(limit(Some(1.0), 200)), "an earlier one comes back");
    assert_eq!(known, limit(None, 300));
}
