//! Stand-ins and callers for the cases 11 to 15 of the review. `standin play CASE RECORD` plays a case:
//! `TROUBLE=0` leaves out its disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod again;
mod alike;
mod http;
mod json;
mod late_crash;
mod runner;
mod scene;
mod store;
mod taken_up;

use std::{env, process};

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["store", address] => {
            scene::end_with_input();
            store::run(address.parse().expect("an address"));
        }
        ["runner", ..] => runner::run(runner::Settings::parse(&arguments[1..]).expect("settings")),
        ["guard"] => scene::guard(),
        ["play", case, record] => {
            let code = match case {
                "alike" => alike::play(record, alike::Variant::Alike),
                "next-page" => alike::play(record, alike::Variant::NextPage),
                "late-crash" => late_crash::play(record),
                "again" => again::play(record),
                "taken-up" => taken_up::play(record),
                _ => 2,
            };
            process::exit(code);
        }
        _ => {
            eprintln!("usage: standin play CASE RECORD");
            process::exit(2);
        }
    }
}
