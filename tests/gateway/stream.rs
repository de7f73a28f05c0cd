use tealturn::gateway::stream::Splitter;

#[test]
fn only_whole_events_are_passed_on() {
    struct Case {
        pieces: &'static [&'static str],
        events: &'static str,
        last: Option<&'static str>,
        partial: bool,
    }
    for case in [
        Case { pieces: &["id: 1\nda", "ta: a\n"], events: "", last: None, partial: true },
        Case {
            pieces: &["id: 1\ndata: a\n\nid: 2\nda"],
            events: "id: 1\ndata: a\n\n",
            last: Some("1"),
            partial: true,
        },
        Case {
            pieces: &["id:1\r\ndata: a\r\n\r", "\nid:2\r\ndata: b\r\n\r\n"],
            events: "id:1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n",
            last: Some("2"),
            partial: false,
        },
        Case { pieces: &["data: a\n\n"], events: "data: a\n\n", last: None, partial: false },
    ] {
        let mut splitter = Splitter::default();
        let (mut bytes, mut last) = (Vec::new(), None);
        for piece in case.pieces {
            let Some(events) = splitter.push(piece.as_bytes()) else { continue };
            bytes.extend_from_slice(&events.bytes);
            last = events.last_id.or(last);
        }
        assert_eq!(String::from_utf8_lossy(&bytes), case.events);
        assert_eq!(last.as_deref(), case.last);
        assert_eq!(splitter.is_partial(), case.partial, "{:?}", case.pieces);
    }
}
