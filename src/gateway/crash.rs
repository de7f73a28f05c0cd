//! Parts of prompts that crash upstreams.

mod run;

pub use self::run::{Process, Run, Runs};

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
