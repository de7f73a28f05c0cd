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
    fs::File,
    io::Write,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// What was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn new(path: &str) -> Record {
        Record { file: Mutex::new(process::create(path)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
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
            thread::sleep(Duration::from_millis(50));
            std::process::exit(code);
        }
        _ => {
            eprintln!("usage: kit case NAME RECORD | kit runner NAME IP BEHAVIOUR");
            std::process::exit(2);
        }
    }
}
