use tealturn::gateway::stream::Splitter;

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
    ] {
        let mut splitter = Splitter::default();
        let (mut bytes, mut last_id) = (Vec::new(), None);
        for chunk in case.chunks {
            let Some(events) = splitter.push(chunk.as_bytes()) else { continue };
            bytes.extend_from_slice(&events.bytes);
            last_id = events.last_id.or(last_id);
        }
        assert_eq!(String::from_utf8_lossy(&bytes), case.complete);
        assert_eq!(last_id.as_deref(), case.last_id);
        assert_eq!(splitter.is_partial(), case.partial, "{:?}", case.chunks);
    }
}
