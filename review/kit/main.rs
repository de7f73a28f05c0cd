//! The stand-ins, callers and checks of the scripts in `review/`.
//!
//! `kit case NAME RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. `kit runner NAME IP BEHAVIOUR` is a runner. It runs in the repository's root.

mod cases;
mod http;
mod process;
mod runner;
mod store;
mod text;

use std::{
    sync::{LazyLock, Mutex},
    thread,
    time::Instant,
};

/// When the program started.
static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Seconds since the start of the program.
pub fn now() -> f64 {
    STARTED.elapsed().as_secs_f64()
}

/// What every record begins with.
const LEGEND: &str = "\
Each line begins with the seconds since the start of the script. \"runner i-1 runs A\": i-1 begins to run the request with the
attempt A; its method, path, X-Tealturn-Tenant, X-Tealturn-Cache-Salt, Last-Event-Id and X-Tealturn-Prompt-Prefix follow (- if
absent). \"uses for A ... part=P made by B\": for A it uses the cached part P, which the request B left there. \"client gets\":
what came back; complete tells whether the body was ended properly. BROKEN names the rule and what breaks it.
";

/// What was sent, answered and run.
pub struct Record {
    path: String,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    fn new(path: &str) -> Record {
        Record { path: path.to_owned(), lines: Mutex::default() }
    }

    /// Writes down what happens now.
    pub fn line(&self, text: &str) {
        self.line_at(now(), text);
    }

    /// Writes down what happened then; the same line only once.
    pub fn line_at(&self, at: f64, text: &str) {
        let line = (at, text.to_owned());
        let mut lines = self.lines.lock().unwrap();
        if !lines.contains(&line) {
            lines.push(line);
        }
    }

    /// Writes the file, in the order of events.
    fn finish(&self) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by(|left, right| left.0.total_cmp(&right.0));
        let lines = lines.iter().map(|(at, text)| format!("{at:8.3} {text}\n"));
        let text = format!("{LEGEND}{}", lines.collect::<String>());
        if let Err(error) = std::fs::write(&self.path, text) {
            eprintln!("{}: {error}", self.path);
        }
    }
}

/// Ends the program: the case couldn't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    // Processes that were started end when their owners are dropped.
    std::panic::resume_unwind(Box::new(()))
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[1..] {
        ["runner", name, ip, behaviour] => runner::run(name, ip, behaviour),
        ["case", name, path] => {
            let _ = now();
            let record = Record::new(path);
            let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            record.line(&format!("case {name}, with the disruption: {has_trouble}"));
            let played = thread::scope(|scope| {
                scope.spawn(|| cases::play(name, &record, has_trouble)).join()
            });
            let code = match played {
                Ok(broken) if broken.is_empty() => {
                    record.line("the rule held");
                    0
                }
                Ok(broken) => {
                    for text in broken {
                        record.line(&format!("BROKEN {text}"));
                        println!("{text}");
                    }
                    1
                }
                Err(_) => {
                    record.line("the case couldn't run");
                    2
                }
            };
            record.finish();
            std::process::exit(code);
        }
        _ => {
            eprintln!("usage: kit case NAME RECORD | kit runner NAME IP BEHAVIOUR");
            std::process::exit(2);
        }
    }
}
