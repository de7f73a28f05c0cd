//! The prompts that this daemon runs at upstreams.

use crate::{
    collections::Map,
    gateway::{call::Prompt, roster::Endpoint},
    kernel::id::{Incarnation, Request},
};

/// A process of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Process {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Process {
    /// The process of a registered upstream.
    pub fn of(endpoint: &Endpoint) -> Process {
        Process { upstream: endpoint.hash, incarnation: endpoint.record.incarnation }
    }
}

/// A prompt that runs at an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Where it runs.
    pub process: Process,
    /// The hashes of its shared parts, in order.
    pub parts: Vec<u64>,
}

impl Run {
    /// A prompt that is about to be sent.
    pub fn new(process: Process, prompt: &Prompt) -> Run {
        Run { process, parts: prompt.shared().iter().map(|it| it.hash).collect() }
    }
}

/// Running prompts, by the attempt that sent them.
#[derive(Debug, Default)]
pub struct Runs(Map<Request, Run>);

impl Runs {
    /// Records that a prompt is about to be sent.
    pub fn start(&mut self, attempt: Request, run: Run) {
        self.0.insert(attempt, run);
    }

    /// Records that an attempt ended; returns its prompt, unless its upstream crashed before.
    pub fn end(&mut self, attempt: Request) -> Option<Run> {
        self.0.remove(&attempt)
    }

    /// Removes the prompts that ran at a process that crashed, or at an earlier one of the same
    /// upstream, in the order in which they were sent.
    pub fn crash(&mut self, process: Process) -> Vec<Run> {
        let is_there = |run: &Run| {
            run.process.upstream == process.upstream
                && run.process.incarnation <= process.incarnation
        };
        let mut gone: Vec<_> = self.0.extract_if(|_, it| is_there(it)).collect();
        gone.sort_by_key(|(attempt, _)| *attempt);
        gone.into_iter().map(|(_, run)| run).collect()
    }
}
