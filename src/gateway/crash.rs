//! Parts of prompts that crash upstreams.
//!
//! One part may crash each upstream that begins to answer a prompt with it, whatever else the
//! prompt holds. Each daemon records which shared parts were in the prompts that it ran at an
//! upstream process when that crashed. These records are facts that daemons tell each other and
//! merge: the crashes of a part are united, and a whole answer to a prompt with the part clears it
//! of all crashes until then.
//!
//! Which parts are barred follows from the facts, see [`Table`]. Prompts that crash an upstream
//! share parts with sound ones, and end others that run there, so a crash counts only for the part
//! that explains the most. The daemons of a fleet in touch hold the same facts after a few
//! exchanges and so bar the same parts. Bars outlive the daemons as rows in the store, see [`Row`].

mod fact;
mod row;
mod run;
mod table;

pub use self::{
    fact::{Crash, Fact},
    row::Row,
    run::{Process, Run, Runs},
    table::{
        BAR, BAR_CRASHES, Bar, Change, Learned, SEEN_BAR_CRASHES, SEEN_SPAN, SPACING, Table,
        WRITE_DELAY,
    },
};

/// Prompts of which the log line of a crash shows the parts.
const LOGGED_PROMPTS: usize = 8;

/// Parts of one prompt that it shows.
const LOGGED_PARTS: usize = 6;

/// The shared parts of prompts for the log, such as `1f+a0, 1f`: prompts are separated by commas.
pub fn list_parts(prompts: &[Run]) -> String {
    let mut texts = Vec::new();
    for prompt in prompts.iter().take(LOGGED_PROMPTS) {
        let parts = prompt.parts.iter().take(LOGGED_PARTS).map(|it| format!("{it:x}"));
        texts.push(parts.collect::<Vec<_>>().join("+"));
    }
    texts.join(", ")
}
