//! The assembler passes each token on once and in order, and nothing that does not fit.

use tealturn::{
    kernel::id::{Incarnation, Request, Version},
    request::assembler::{Assembler, Expected, Fault, Verdict},
    upstream::wire::{Choice, Chunk, Finish, Usage},
};

const MAX_TOKENS: u32 = 6;

fn expected() -> Expected {
    Expected { attempt: Request(7), version: Version(3), incarnation: Incarnation(10) }
}

/// Tokens `from..to` of the answer, each one character.
fn chunk(from: u64, to: u64) -> Chunk {
    let text = (from..to).map(|it| char::from(b'a' + it as u8)).collect();
    Chunk {
        id: Request(7),
        incarnation: Incarnation(10),
        version: Version(3),
        offset: from,
        choices: vec![Choice { text, tokens: (to - from) as u32, finish_reason: None }],
        usage: None,
    }
}

fn last(from: u64, to: u64, finish: Finish, count: u64) -> Chunk {
    let mut chunk = chunk(from, to);
    chunk.choices[0].finish_reason = Some(finish);
    chunk.usage = Some(Usage { prompt_tokens: 9, cached_tokens: 4, completion_tokens: count });
    chunk
}

fn with(mut chunk: Chunk, change: fn(&mut Chunk)) -> Chunk {
    change(&mut chunk);
    chunk
}

struct Case {
    name: &'static str,
    chunks: Vec<Chunk>,
    /// What leaves; `.` marks the end.
    passed: &'static str,
    fault: Option<Fault>,
}

fn cases() -> Vec<Case> {
    let whole = vec![chunk(0, 2), chunk(2, 4), last(4, 5, Finish::Stop, 5)];
    let case = |name, chunks, passed, fault| Case { name, chunks, passed, fault };
    vec![
        case("whole", whole.clone(), "abcde.", None),
        case("length", vec![last(0, 6, Finish::Length, 6)], "abcdef.", None),
        case(
            "end mark without tokens",
            vec![chunk(0, 3), last(3, 3, Finish::Stop, 3)],
            "abc.",
            None,
        ),
        case(
            "each chunk twice",
            vec![chunk(0, 2), chunk(0, 2), chunk(2, 4), chunk(0, 2)],
            "abcd",
            None,
        ),
        case("gap", vec![chunk(0, 2), chunk(3, 4)], "ab", Some(Fault::Gap)),
        case("a first chunk that is not the first", vec![chunk(2, 4)], "", Some(Fault::Gap)),
        case("overlap", vec![chunk(0, 2), chunk(1, 4)], "ab", Some(Fault::Overlap)),
        case(
            "end mark with tokens that were passed on",
            vec![chunk(0, 2), last(1, 2, Finish::Stop, 2)],
            "ab",
            Some(Fault::Overlap),
        ),
        case(
            "another attempt, crossed",
            vec![chunk(0, 2), with(chunk(2, 4), |it| it.id = Request(8))],
            "ab",
            Some(Fault::Attempt),
        ),
        case(
            "older weights",
            vec![with(chunk(0, 2), |it| it.version = Version(2))],
            "",
            Some(Fault::Version),
        ),
        case(
            "newer weights in mid-stream",
            vec![chunk(0, 2), with(chunk(2, 4), |it| it.version = Version(4))],
            "ab",
            Some(Fault::Version),
        ),
        case(
            "a dead run's late answer",
            vec![with(chunk(0, 2), |it| it.incarnation = Incarnation(9))],
            "",
            Some(Fault::Incarnation),
        ),
        case(
            "the engine restarted before it took the request",
            vec![with(chunk(0, 2), |it| it.incarnation = Incarnation(11))],
            "ab",
            None,
        ),
        case(
            "the engine restarted in mid-stream",
            vec![chunk(0, 2), with(chunk(2, 4), |it| it.incarnation = Incarnation(11))],
            "ab",
            Some(Fault::Incarnation),
        ),
        case("early end", vec![chunk(0, 2), last(2, 3, Finish::Stop, 5)], "ab", Some(Fault::Count)),
        case(
            "end without a count",
            vec![with(last(0, 2, Finish::Stop, 2), |it| it.usage = None)],
            "",
            Some(Fault::Count),
        ),
        case(
            "more tokens than allowed",
            vec![chunk(0, 4), chunk(4, 7)],
            "abcd",
            Some(Fault::Count),
        ),
        case(
            "cancelled by the engine",
            vec![chunk(0, 2), last(2, 2, Finish::Cancelled, 2)],
            "ab",
            Some(Fault::Cancelled),
        ),
        case("after the end", [whole, vec![chunk(5, 6)]].concat(), "abcde.", Some(Fault::Ended)),
        case("no choice", vec![with(chunk(0, 2), |it| it.choices.clear())], "", Some(Fault::Shape)),
        case(
            "an offset past all numbers",
            vec![with(chunk(0, 2), |it| it.offset = u64::MAX)],
            "",
            Some(Fault::Shape),
        ),
    ]
}

#[test]
fn only_what_fits_leaves() {
    for case in cases() {
        let mut assembler = Assembler::new(expected(), MAX_TOKENS);
        let mut passed = String::new();
        let mut fault = None;
        for chunk in case.chunks {
            match assembler.take(chunk) {
                Verdict::Piece(piece) => {
                    passed.push_str(&piece.text);
                    passed.push_str(piece.end.map_or("", |_| "."));
                }
                Verdict::Duplicate => {}
                Verdict::Fault(found) => fault = Some(found),
            }
        }
        assert_eq!(passed, case.passed, "{}", case.name);
        assert_eq!(fault, case.fault, "{}", case.name);
    }
}

#[test]
fn another_attempt_continues_where_the_first_broke_off() {
    let mut assembler = Assembler::new(expected(), MAX_TOKENS);
    assert!(matches!(assembler.take(chunk(0, 2)), Verdict::Piece(_)));
    let attempt = Request(8);
    let incarnation = Incarnation(1);
    assembler.restart(Expected { attempt, incarnation, ..expected() });
    let late = assembler.take(chunk(2, 4));
    assert_eq!(late, Verdict::Fault(Fault::Attempt));
    let mut rest = last(2, 4, Finish::Stop, 4);
    rest.id = attempt;
    rest.incarnation = incarnation;
    let Verdict::Piece(piece) = assembler.take(rest) else {
        panic!("the rest was not passed on");
    };
    assert_eq!((piece.offset, piece.text.as_str()), (2, "cd"));
    assert!(piece.end.is_some());
}
