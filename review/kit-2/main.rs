//! Stand-ins and scripts of the cases of the second review. It uses the standard library only.

mod caller;
mod crashed;
mod cut;
mod daemon;
mod forgotten;
mod http;
mod json;
mod link;
mod poisoned;
mod proxy;
mod record;
mod runner;
mod scene;
mod store;
mod traffic;

use std::{env, process::ExitCode};

use crate::forgotten::Besides;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match texts.as_slice() {
        ["runner", address, id, version, manner @ ..] => runner::run(address, id, version, manner),
        ["crashed", folder] => crashed::play(folder),
        ["cut", folder] => cut::play(folder),
        ["poisoned", folder] => poisoned::play(folder),
        ["forgotten", folder] => forgotten::play(folder, Besides::Release),
        ["drilled", folder] => forgotten::play(folder, Besides::Drill),
        _ => {
            eprintln!("usage: kit runner ADDRESS ID VERSION MANNER | kit CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
