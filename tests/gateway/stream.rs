use std::time::{Duration, Instant};

use tealturn::{gateway::stream::Splitter, http::memory::Memory};

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
            let (mut bytes, mut last_id) = (Vec::new(), None);
            for chunk in chunks {
                let Some(events) = splitter.push(chunk.as_bytes()) else { continue };
                bytes.extend_from_slice(&events.bytes);
                last_id = events.last_id.or(last_id);
            }
            assert_eq!(String::from_utf8_lossy(&bytes), case.complete, "{chunks:?}");
            assert_eq!(last_id.as_deref(), case.last_id, "{chunks:?}");
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
    assert_eq!((events.bytes.len(), memory.used()), (5 * piece.len() + 2, 0));
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
