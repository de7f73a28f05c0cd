//! Parts of prompts that crash upstreams.

use tealturn::{
    gateway::crash::{Process, Run, Runs, list_parts},
    kernel::id::{Incarnation, Request},
};

fn run(upstream: u64, incarnation: u64, parts: &[u64]) -> Run {
    let incarnation = Incarnation(incarnation);
    Run { process: Process { upstream, incarnation }, parts: parts.to_vec() }
}

/// Guards against records of crashes that don't tell which parts the prompts there had, or name those of
/// prompts that ran elsewhere or had ended.
#[test]
fn a_crash_names_the_parts_of_the_prompts_that_ran_there() {
    let mut runs = Runs::default();
    let sent = [
        run(1, 5, &[0x1f, 0xa0]),
        run(2, 5, &[0x1f]),
        run(1, 4, &[0xb]),
        run(1, 6, &[0xc]),
        run(1, 5, &[0xd]),
    ];
    for (attempt, it) in sent.iter().enumerate() {
        runs.start(Request(attempt as u128), it.clone());
    }
    runs.end(Request(4));
    let gone = runs.crash(sent[0].process);
    assert_eq!(gone, [sent[0].clone(), sent[2].clone()]);
    assert_eq!(list_parts(&gone), "1f+a0, b");
    assert_eq!(runs.crash(sent[0].process), []);
    let many = vec![run(1, 1, &[0xe; 20]); 20];
    assert_eq!(list_parts(&many), vec!["e+e+e+e+e+e"; 8].join(", "));
}
