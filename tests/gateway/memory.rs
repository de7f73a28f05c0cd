//! The memory of answers.

use tealturn::http::memory::{Buffer, Memory};

/// Ordinary answers must not fail because endless ones take all memory.
#[test]
fn small_answers_need_no_memory_and_large_ones_share_it() {
    const LIMIT: usize = 200_000;
    struct Case {
        what: &'static str,
        length: usize,
        max: usize,
        fits: bool,
    }
    let memory = Memory::new(LIMIT);
    let mut large = Buffer::new(memory.hold(), LIMIT);
    assert!(large.push(&vec![b'x'; LIMIT - 30_000]));
    for case in [
        Case { what: "a small one", length: 4_000, max: LIMIT, fits: true },
        Case { what: "one for which there is room", length: 30_000, max: LIMIT, fits: true },
        Case { what: "one that is too long by itself", length: 29_000, max: 28_000, fits: false },
        Case { what: "one for which there is no room", length: 31_000, max: LIMIT, fits: false },
    ] {
        let used = memory.used();
        let mut buffer = Buffer::new(memory.hold(), case.max);
        let pieces = vec![b'y'; case.length];
        let fits = pieces.chunks(1_000).all(|it| buffer.push(it));
        assert_eq!(fits, case.fits, "{}", case.what);
        drop(buffer);
        assert_eq!(memory.used(), used, "{}", case.what);
    }
    let bytes = large.finish();
    assert_eq!(memory.used(), LIMIT - 30_000, "it is held until the caller has it");
    drop(bytes);
    assert_eq!(memory.used(), 0);
}
