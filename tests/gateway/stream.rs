use std::time::{Duration, Instant};

use tealturn::{
    gateway::{
        dialect::{Field, Format},
        stream::{
            Splitter,
            sequence::{Fault, Sequence, begins_event},
        },
    },
    http::memory::Memory,
    kernel::id::Version,
};

/// Streams in which a field `weights` states their version.
#[derive(Default)]
struct Events {
    are_identified: bool,
}

impl Format for Events {
    fn parse_field(&self, name: &[u8], value: &[u8]) -> Field {
        match (name, value) {
            (b"weights", [digit @ b'0'..=b'9']) => Field::Weights(Version(u64::from(digit - b'0'))),
            _ => Field::Foreign,
        }
    }

    fn identifies_events(&self) -> bool {
        self.are_identified
    }
}

#[test]
fn only_complete_events_are_returned() {
    struct Case {
        chunks: &'static [&'static str],
        complete: &'static str,
        last_id: Option<&'static str>,
        partial: bool,
    }
    for case in [
        Case { chunks: &["id: 1\nda", "ta: a\n"], complete: "", last_id: None, partial: true },
        Case {
            chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
            complete: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
            partial: true,
        },
        Case {
            chunks: &["id:1\r\ndata: a\r\n\r", "\nid:2\r\ndata: b\r\n\r\n"],
            complete: "id:1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n",
            last_id: Some("2"),
            partial: false,
        },
        Case { chunks: &["data: a\n\n"], complete: "data: a\n\n", last_id: None, partial: false },
        Case { chunks: &["id: 1\r\ndata: a\r\n\r"], complete: "", last_id: None, partial: true },
        Case {
            chunks: &["id: 1\rdata: a\r", "\rid: 2\rdata: b\r\rdata:"],
            complete: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
            last_id: Some("2"),
            partial: true,
        },
        Case {
            chunks: &["id: 1\rdata: a\r", "\ndata: b\r"],
            complete: "",
            last_id: None,
            partial: true,
        },
        Case {
            chunks: &["id: 1\ndata: a\r", "\n", "\r", "\ndata: b\r\n\n"],
            complete: "id: 1\ndata: a\r\n\r\ndata: b\r\n\n",
            last_id: Some("1"),
            partial: false,
        },
        Case {
            chunks: &["data: a\r\r", "\ndata: b\r", "id: 2\n"],
            complete: "data: a\r\r\n",
            last_id: None,
            partial: true,
        },
    ] {
        let whole = case.chunks.concat();
        let bytewise: Vec<_> = whole.split_inclusive(|_| true).collect();
        for chunks in [case.chunks, &[whole.as_str()], &bytewise] {
            let mut splitter = Splitter::new(Memory::new(0).hold());
            let (mut bytes, mut sequence) = (Vec::new(), Sequence::default());
            for chunk in chunks {
                let Some(events) = splitter.push(chunk.as_bytes()) else { continue };
                bytes.extend_from_slice(&events);
                assert_eq!(sequence.take(&events, &Events::default()), Ok(()), "{chunks:?}");
            }
            assert_eq!(String::from_utf8_lossy(&bytes), case.complete, "{chunks:?}");
            assert_eq!(sequence.last_id(), case.last_id, "{chunks:?}");
            assert_eq!(splitter.is_partial(), case.partial, "{chunks:?}");
            let is_begun = splitter.has_returned_events();
            assert_eq!(is_begun, !case.complete.is_empty(), "{chunks:?}");
        }
    }
}

/// An event without end must not take all memory, nor may one keep its memory after it was passed on.
#[test]
fn an_event_takes_no_more_memory_than_there_is() {
    const LIMIT: usize = 100_000;
    let memory = Memory::new(LIMIT);
    let piece = [b'x'; 10_000];
    let mut splitter = Splitter::new(memory.hold());
    let pushed = (0..100).take_while(|_| {
        assert!(splitter.push(&piece).is_none());
        !splitter.exceeds_limit()
    });
    assert_eq!(pushed.count(), LIMIT / piece.len());
    assert!(memory.used() <= LIMIT);
    drop(splitter);
    assert_eq!(memory.used(), 0);
    let mut splitter = Splitter::new(memory.hold());
    (0..5).for_each(|_| drop(splitter.push(&piece)));
    assert_eq!(memory.used(), 5 * piece.len());
    let events = splitter.push(b"\n\n").expect("a whole event");
    assert_eq!((events.len(), memory.used()), (5 * piece.len() + 2, 0));
}

/// Guards against events whose cost grows with the square of their size: one that came in small pieces
/// kept a daemon from all other work for longer than callers wait for an event.
#[test]
fn an_event_in_small_pieces_costs_little() {
    const EVENT_BYTES: usize = 1024 * 1024;
    const SHORTEST_WAIT: Duration = Duration::from_secs(2);
    for piece in ["x", "data: x\n", "data: x\r\n", "data: x\r"] {
        let mut splitter = Splitter::new(Memory::new(EVENT_BYTES).hold());
        let piece = piece.repeat(8);
        let start = Instant::now();
        for _ in 0..EVENT_BYTES / piece.len() {
            assert!(splitter.push(piece.as_bytes()).is_none());
        }
        assert!(start.elapsed() < SHORTEST_WAIT, "{piece:?}: {:?}", start.elapsed());
    }
}

/// Guards against bytes that are no part of a stream and against sound events that count as such.
#[test]
fn events_are_taken_up_to_the_first_that_does_not_belong_to_the_stream() {
    const ORDER: &str = "the identifier of an event does not increase";
    const FOREIGN: &str = "a line belongs to no event";
    const UNIDENTIFIED: &str = "an event has no identifier";
    const REPEATED: &str = "an event is repeated";
    const OLDER: &str = "an event is of older weights than the stream";
    const NO_TEXT: &str = "the identifier of an event is no text";
    struct Case {
        /// The event that the caller has, if it resumes a stream.
        after: Option<&'static str>,
        are_identified: bool,
        sound: &'static [u8],
        fault: Option<(&'static [u8], &'static str)>,
        last_id: Option<&'static str>,
    }
    let sound = |after, sound: &'static str, last_id| Case {
        after,
        are_identified: false,
        sound: sound.as_bytes(),
        fault: None,
        last_id,
    };
    let fault = |after, it: &'static str, rest: &'static str, reason, last_id| Case {
        fault: Some((rest.as_bytes(), reason)),
        ..sound(after, it, last_id)
    };
    for case in [
        sound(None, "data: a\n\ndata: b\n\n", None),
        sound(None, "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n", Some("2")),
        sound(None, "id: 007\n\nid: 8\n\n", Some("8")),
        sound(None, "id: b\n\nid: a\n\nid: a\n\n", Some("a")),
        sound(None, "id: a\n\nid: 1\n\n", Some("1")),
        sound(Some("a"), "id: b\ndata: b\n\n", Some("b")),
        sound(Some("1"), ": comment\n\nevent: a\n\nretry: 1\n\nid: 2\ndata: b\n\n", Some("2")),
        sound(Some("1"), "id: 3\r\ndata: c\r\n\r\n", Some("3")),
        sound(None, "weights: 1\nid: 1\n\nid: 2\n\nweights:2\nid: 3\n\n", Some("3")),
        Case { are_identified: true, ..sound(None, "event: end\n\nid: 1\ndata\n\n", Some("1")) },
        Case {
            are_identified: true,
            ..fault(None, "id: 1\ndata: a\n\n", "data: b\n\n", UNIDENTIFIED, Some("1"))
        },
        fault(Some("1"), "", "data: b\n\nid: 2\ndata: c\n\n", UNIDENTIFIED, Some("1")),
        fault(Some("1"), ":\n\n", "id: 1\ndata: a\n\n", ORDER, Some("1")),
        fault(Some("2"), "", "id: 1\ndata: a\n\n", ORDER, Some("2")),
        fault(Some("1"), "id: 2\n\n", "id: 2\n\n", ORDER, Some("2")),
        fault(Some("1"), "", "id: b\ndata: b\n\n", ORDER, Some("1")),
        fault(None, "id: 9\n\nid: 10\n\n", "id: 9\n\n", ORDER, Some("10")),
        fault(Some("a"), "", "id: a\ndata: a\n\n", REPEATED, Some("a")),
        fault(None, "id: 1\n\n", "HTTP/1.1 500 Error\r\na: b\r\n\r\n", FOREIGN, Some("1")),
        fault(None, "id: 1\n\n", "id: 2\ndata: b\nerror\n\n", FOREIGN, Some("1")),
        fault(None, "id: 1\n\n", "ID: 2\ndata: b\n\n", FOREIGN, Some("1")),
        fault(None, "weights: 2\nid: 1\n\n", "weights: 1\nid: 2\n\n", OLDER, Some("1")),
        fault(None, "id: 1\n\n", "weights: x\nid: 2\n\n", FOREIGN, Some("1")),
        Case { fault: Some((b"id: \xff\n\n", NO_TEXT)), ..sound(None, "id: a\n\n", Some("a")) },
    ] {
        let mut sequence = Sequence::new(case.after, None);
        let (rest, reason) = case.fault.unwrap_or_default();
        let bytes = [case.sound, rest].concat();
        let text = String::from_utf8_lossy(&bytes);
        let events = Events { are_identified: case.are_identified };
        let expected = match case.fault {
            Some(_) => Err(Fault { sound: case.sound.len(), reason }),
            None => Ok(()),
        };
        assert_eq!(sequence.take(&bytes, &events), expected, "{text:?}");
        assert_eq!(sequence.last_id(), case.last_id, "{text:?}");
        assert_eq!(sequence.lacks_event(), case.fault.is_some(), "{text:?}");
    }
}

/// Guards against a stream that goes on after an event which the next upstream can't be told, and against
/// one that ends without an event that was to come.
#[test]
fn a_stream_knows_whether_it_can_go_on_and_whether_it_can_have_ended() {
    struct Case {
        events: &'static str,
        rest: &'static str,
        is_resumable: bool,
        lacks_event: bool,
    }
    let case =
        |events, rest, is_resumable, lacks_event| Case { events, rest, is_resumable, lacks_event };
    for case in [
        case("", "", true, true),
        case("", ": comment\n\n", true, true),
        case("", "data: a\n\n", true, false),
        case("data: a\n\n", "", false, true),
        case("id: 1\ndata: a\n\n", "", true, true),
        case("id: 1\ndata: a\n\n", "event: end\n\n", true, true),
        case("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", true, false),
        case("id: 1\ndata: a\n\ndata: b\n\n", "", false, true),
        case("id: 1\ndata: a\n\ndata: b\n\nid: 2\n\n", "id: 3\n\n", true, false),
    ] {
        let mut sequence = Sequence::default();
        let events = Events::default();
        assert_eq!(sequence.take(case.events.as_bytes(), &events), Ok(()), "{:?}", case.events);
        assert!(!sequence.lacks_event(), "{:?}", case.events);
        assert_eq!(sequence.is_resumable(), case.is_resumable, "{:?}", case.events);
        sequence.expect_event();
        sequence.resume();
        assert_eq!(sequence.take(case.rest.as_bytes(), &events), Ok(()), "{:?}", case.events);
        assert_eq!(sequence.lacks_event(), case.lacks_event, "{:?} {:?}", case.events, case.rest);
    }
}

/// Guards against streams that are broken off at their end since bytes after it pass for an event.
#[test]
fn an_incomplete_event_is_told_from_other_bytes() {
    struct Case {
        bytes: &'static str,
        begins_event: bool,
    }
    let case = |bytes, begins_event| Case { bytes, begins_event };
    for case in [
        case("", false),
        case("\r", false),
        case(": comment", false),
        case(": comment\nid: 1", false),
        case("i", false),
        case("internal error", false),
        case("HTTP/1.1 500 Error: a", false),
        case("id:", true),
        case("id: 2\nda", true),
        case("data: b\r\n", true),
        case("weights: 2\r", true),
    ] {
        let begins = begins_event(case.bytes.as_bytes(), &Events::default());
        assert_eq!(begins, case.begins_event, "{:?}", case.bytes);
    }
}
