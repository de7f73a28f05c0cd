//! The callers' own checks: a stream that is not the whole answer, in order and their own, is
//! never taken for one.

use tealturn::{
    load::{
        reader::{Reader, State},
        traffic::{Call, Kind, Profile, Traffic},
    },
    standin::answer::Answer,
};

const PROMPT: &str = "Is this renewal file complete?";
const TOKENS: u32 = 4;

#[derive(Clone, Copy)]
enum Event {
    /// Tokens of the answer: offset and count.
    Chunk(u64, u64),
    /// The same, with the end.
    Last(u64, u64),
    /// The right tokens under the offset of the next one.
    Misplaced(u64, u64),
    /// Tokens of the answer to another prompt.
    Foreign(u64, u64),
    Comment,
    Error,
    Done,
}

impl Event {
    fn text(self) -> String {
        let own = Answer::new(PROMPT);
        let usage = ",\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":4}";
        match self {
            Event::Chunk(offset, count) => chunk(offset, &own.text(offset, count), ""),
            Event::Last(offset, count) => chunk(offset, &own.text(offset, count), usage),
            Event::Misplaced(offset, count) => chunk(offset + 1, &own.text(offset, count), ""),
            Event::Foreign(offset, count) => {
                chunk(offset, &Answer::new("other").text(offset, count), "")
            }
            Event::Comment => ": waiting\n\n".to_owned(),
            Event::Error => {
                let error = r#"{"type":"incomplete","message":"","run":"run"}"#;
                format!("event: error\ndata: {{\"error\":{error}}}\n\n")
            }
            Event::Done => "data: [DONE]\n\n".to_owned(),
        }
    }
}

fn chunk(offset: u64, text: &str, usage: &str) -> String {
    let choice = format!("{{\"text\":\"{text}\",\"finish_reason\":null}}");
    format!("data: {{\"offset\":{offset},\"choices\":[{choice}]{usage}}}\n\n")
}

#[derive(Debug, Eq, PartialEq)]
enum Expected {
    Whole,
    Refused,
    Wrong,
    /// The stream goes on; at its end the caller takes it for cut.
    Open,
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    expected: Expected,
}

#[test]
fn streams() {
    use Event::{Chunk, Comment, Done, Error, Foreign, Last, Misplaced};

    let case = |name, events, expected| Case { name, events, expected };
    let cases = [
        case(
            "whole",
            &[Comment, Chunk(0, 1), Chunk(1, 2), Comment, Last(3, 1), Done],
            Expected::Whole,
        ),
        case("in one piece", &[Last(0, 4), Done], Expected::Whole),
        case("without end mark", &[Last(0, 4)], Expected::Open),
        case("a gap", &[Chunk(0, 1), Last(2, 2), Done], Expected::Wrong),
        case("twice", &[Chunk(0, 2), Chunk(0, 2), Last(2, 2), Done], Expected::Wrong),
        case(
            "another offset than the text's",
            &[Chunk(0, 1), Misplaced(1, 2), Last(3, 1), Done],
            Expected::Wrong,
        ),
        case("too short", &[Last(0, 3), Done], Expected::Wrong),
        case("too long", &[Last(0, 5), Done], Expected::Wrong),
        case("another's answer", &[Chunk(0, 1), Foreign(1, 3), Done], Expected::Wrong),
        case("without usage", &[Chunk(0, 4), Done], Expected::Wrong),
        case("broken off", &[Chunk(0, 2), Error], Expected::Refused),
        case("nothing", &[Done], Expected::Wrong),
    ];
    for case in cases {
        let bytes: String = case.events.iter().map(|it| it.text()).collect();
        // Whole, and torn at every byte.
        for pieces in [vec![bytes.as_bytes()], bytes.as_bytes().chunks(1).collect()] {
            let mut reader = Reader::new(PROMPT, TOKENS);
            let mut state = State::Open;
            for piece in pieces {
                state = reader.read(piece);
                if state != State::Open {
                    break;
                }
            }
            let seen = match state {
                State::Open => Expected::Open,
                State::Whole(_) => Expected::Whole,
                State::Refused(_) => Expected::Refused,
                State::Wrong(_) => Expected::Wrong,
            };
            assert_eq!(seen, case.expected, "{}", case.name);
        }
    }
}

#[test]
fn a_seed_gives_the_same_calls() {
    for profile in [Profile::nortebraco(), Profile::cascade()] {
        let calls = |seed| -> Vec<Call> {
            let mut traffic = Traffic::new(profile.clone(), seed);
            (0..200).map(|_| traffic.call()).collect()
        };
        let first = calls(7);
        assert_eq!(first, calls(7));
        assert_ne!(first, calls(8));
        let bookings = first.iter().filter(|it| matches!(it.kind, Kind::Booking { .. }));
        assert!(bookings.count() > 0);
        for call in &first {
            let Kind::Completion { prompt, levels, .. } = &call.kind else {
                continue;
            };
            assert_eq!(levels.len(), 3);
            assert!(levels.is_sorted() && levels[2] < prompt.len());
        }
    }
}

#[test]
fn a_shift_changes_the_hot_handbooks_only() {
    let prompts = |shifted: bool| -> Vec<String> {
        let mut traffic = Traffic::new(Profile::nortebraco(), 7);
        if shifted {
            traffic.shift();
        }
        let calls = (0..200).map(|_| traffic.call());
        let prompts = calls.filter_map(|it| match it.kind {
            Kind::Completion { prompt, .. } => Some(prompt),
            Kind::Booking { .. } => None,
        });
        prompts.collect()
    };
    let (before, after) = (prompts(false), prompts(true));
    let same = before.iter().zip(&after).filter(|(a, b)| a == b).count();
    assert!(same > 0 && same < before.len(), "{same}");
}
