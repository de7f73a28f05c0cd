//! What is done after each failure of an attempt, and what the caller is told.

use tealturn::{
    kernel::id::{Incarnation, Request, Version},
    request::{
        assembler::Expected,
        attempt::{Event, Machine, Rules, Step},
        refusal::{Execution, Kind},
    },
    upstream::wire::{Choice, Chunk, Finish, Usage},
};

/// What the edge sees, in short.
#[derive(Clone, Copy, Debug)]
enum See {
    /// Tokens from..to of the present attempt.
    Tokens(u64, u64),
    /// The last tokens.
    Last(u64, u64),
    /// Tokens computed by other weights.
    Weights,
    /// Tokens of the attempt before.
    Late,
    Unreachable,
    Refused,
    Opened,
    UnknownStream,
    Comment,
    Broken,
    Silent,
    UpstreamGone,
    Expired,
    NoUpstream,
}

use See::*;

struct Case {
    name: &'static str,
    idempotent: bool,
    sees: &'static [See],
    /// The steps, in short: `p` place, `rN` resume at N, `.` read, text passed on, `!` the end,
    /// and the refusal.
    steps: &'static str,
    fails: Option<(Kind, Execution)>,
}

const CASES: &[Case] = &[
    Case {
        name: "no failure",
        idempotent: true,
        sees: &[Opened, Tokens(0, 2), Last(2, 3)],
        steps: "p . ab c!",
        fails: None,
    },
    Case {
        name: "no upstream",
        idempotent: true,
        sees: &[NoUpstream],
        steps: "p",
        fails: Some((Kind::NoUpstream, Execution::NotRun)),
    },
    Case {
        name: "engine gone before it was asked",
        idempotent: false,
        sees: &[Unreachable, Opened, Last(0, 3)],
        steps: "p p . abc!",
        fails: None,
    },
    Case {
        name: "all full",
        idempotent: false,
        sees: &[Refused, Refused, NoUpstream],
        steps: "p p p",
        fails: Some((Kind::Overloaded, Execution::NotRun)),
    },
    Case {
        name: "crash in the queue",
        idempotent: true,
        sees: &[Opened, Broken, Unreachable, Opened, Last(0, 3)],
        steps: "p . r0 p . abc!",
        fails: None,
    },
    Case {
        name: "crash in the queue, not to be repeated",
        idempotent: false,
        sees: &[Opened, Broken, Unreachable],
        steps: "p . r0",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
    Case {
        name: "crash before the head, restarted at once",
        idempotent: true,
        sees: &[Broken, UnknownStream, Opened, Last(0, 3)],
        steps: "p r0 p . abc!",
        fails: None,
    },
    Case {
        name: "crash in mid-stream",
        idempotent: true,
        sees: &[Opened, Tokens(0, 2), Broken, Unreachable, Opened, Last(2, 3)],
        steps: "p . ab r2 p . c!",
        fails: None,
    },
    Case {
        name: "crash in mid-stream, not to be repeated",
        idempotent: false,
        sees: &[Opened, Tokens(0, 2), Broken, Unreachable],
        steps: "p . ab r2",
        fails: Some((Kind::Incomplete, Execution::Run)),
    },
    Case {
        name: "crash before the end mark",
        idempotent: true,
        sees: &[Opened, Tokens(0, 3), Broken, UpstreamGone, Opened, Last(3, 3)],
        steps: "p . abc r3 p . !",
        fails: None,
    },
    Case {
        name: "silent connection, engine well",
        idempotent: false,
        sees: &[Opened, Tokens(0, 2), Silent, Opened, Last(2, 3)],
        steps: "p . ab r2 . c!",
        fails: None,
    },
    Case {
        name: "silent before the head, engine well",
        idempotent: false,
        sees: &[Silent, Opened, Last(0, 3)],
        steps: "p r0 . abc!",
        fails: None,
    },
    Case {
        name: "a long queue is no silence",
        idempotent: true,
        sees: &[
            Opened,
            Silent,
            Opened,
            Silent,
            Opened,
            Silent,
            Opened,
            Silent,
            Opened,
            Comment,
            Last(0, 3),
        ],
        steps: "p . r0 . r0 . r0 . r0 . . abc!",
        fails: None,
    },
    Case {
        name: "frozen engine",
        idempotent: true,
        sees: &[Opened, Tokens(0, 1), Silent, Silent, Opened, Last(1, 3)],
        steps: "p . a r1 p . bc!",
        fails: None,
    },
    Case {
        name: "frozen engine, not to be repeated",
        idempotent: false,
        sees: &[Opened, Silent, Silent, Silent, Silent, Silent],
        steps: "p . r0 r0 r0 r0",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
    Case {
        name: "weights changed in the queue",
        idempotent: true,
        sees: &[Opened, Weights, Refused, Opened, Last(0, 3)],
        steps: "p . p p . abc!",
        fails: None,
    },
    Case {
        name: "weights changed in the queue, not to be repeated",
        idempotent: false,
        sees: &[Opened, Weights],
        steps: "p .",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
    Case {
        name: "late answer of the attempt before",
        idempotent: true,
        sees: &[Opened, Tokens(0, 1), Broken, UnknownStream, Opened, Late, Opened, Last(1, 3)],
        steps: "p . a r1 p . r1 . bc!",
        fails: None,
    },
    Case {
        name: "connections that break again and again",
        idempotent: false,
        sees: &[Opened, Broken, Opened, Broken, Opened, Broken, Opened, Broken],
        steps: "p . r0 . r0 . r0 .",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
    Case {
        name: "three runs are enough",
        idempotent: true,
        sees: &[UpstreamGone, UpstreamGone, UpstreamGone],
        steps: "p p p",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
    Case {
        name: "deadline while it is being sent",
        idempotent: true,
        sees: &[Unreachable, Expired],
        steps: "p p",
        fails: Some((Kind::Deadline, Execution::Unknown)),
    },
    Case {
        name: "deadline in mid-stream",
        idempotent: true,
        sees: &[Opened, Tokens(0, 1), Expired],
        steps: "p . a",
        fails: Some((Kind::Deadline, Execution::Run)),
    },
    Case {
        name: "refused after an attempt that may have run",
        idempotent: true,
        sees: &[Silent, Silent, Refused, NoUpstream],
        steps: "p r0 p p",
        fails: Some((Kind::Incomplete, Execution::Unknown)),
    },
];

fn chunk(attempt: u128, from: u64, to: u64, last: bool) -> Chunk {
    let text = (from..to).map(|it| char::from(b'a' + it as u8)).collect();
    Chunk {
        id: Request(attempt),
        incarnation: Incarnation(1),
        version: Version(1),
        offset: from,
        choices: vec![Choice {
            text,
            tokens: (to - from) as u32,
            finish_reason: last.then_some(Finish::Stop),
        }],
        usage: last.then_some(Usage { prompt_tokens: 1, cached_tokens: 0, completion_tokens: to }),
    }
}

fn event(see: See, attempt: u128) -> Event {
    let tokens = |chunk| Event::Chunk(Box::new(chunk));
    match see {
        Tokens(from, to) => tokens(chunk(attempt, from, to, false)),
        Last(from, to) => tokens(chunk(attempt, from, to, true)),
        Weights => tokens(Chunk { version: Version(2), ..chunk(attempt, 0, 1, false) }),
        Late => tokens(chunk(attempt - 1, 1, 2, false)),
        Unreachable => Event::Unreachable,
        Refused => Event::Refused,
        Opened => Event::Opened,
        UnknownStream => Event::UnknownStream,
        Comment => Event::Comment,
        Broken => Event::Broken,
        Silent => Event::Silent,
        UpstreamGone => Event::UpstreamGone,
        Expired => Event::Expired,
        NoUpstream => Event::NoUpstream,
    }
}

/// Runs a case; every placement is on an upstream that was not used before.
fn run(case: &Case) -> (String, Option<(Kind, Execution)>) {
    let mut machine = Machine::new(Rules { idempotent: case.idempotent, max_tokens: 8 });
    let mut steps = Vec::new();
    let mut attempt = 0;
    let mut step = Step::Place;
    for see in case.sees {
        match step {
            Step::Place => {
                steps.push("p".to_owned());
                if !matches!(see, NoUpstream) {
                    attempt += 1;
                    let upstream = format!("engine-{attempt}").as_str().into();
                    assert!(!machine.avoid().contains(&upstream), "{}", case.name);
                    machine.place(
                        upstream,
                        Expected {
                            attempt: Request(attempt),
                            version: Version(1),
                            incarnation: Incarnation(1),
                        },
                    );
                }
            }
            Step::Resume(offset) => steps.push(format!("r{offset}")),
            Step::Read => steps.push(".".to_owned()),
            Step::Pass(piece) => steps.push(piece.text),
            Step::Fail(_) => panic!("{}: a step after the end", case.name),
        }
        step = machine.on(event(*see, attempt));
    }
    match step {
        Step::Pass(piece) if piece.end.is_some() => steps.push(format!("{}!", piece.text)),
        Step::Fail(refusal) => return (steps.join(" "), Some((refusal.kind, refusal.run))),
        other => panic!("{}: not at its end but at {other:?}", case.name),
    }
    (steps.join(" "), None)
}

#[test]
fn each_failure_has_its_step() {
    for case in CASES {
        let (steps, fails) = run(case);
        assert_eq!(steps, case.steps, "{}", case.name);
        assert_eq!(fails, case.fails, "{}", case.name);
    }
}
