//! The requests that wait: by priority, then in turn between workspaces, then by deadline.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    collections::Map,
    kernel::{
        clock::Time,
        id::{Request, Workspace},
    },
};

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The request.
    pub request: Request,
    /// Tokens that it is expected to use.
    pub tokens: u64,
    /// Served first when higher.
    pub priority: u8,
    /// When it must be admitted at the latest.
    pub start_by: Time,
}

/// Orders the entries of one workspace.
type Rank = (Reverse<u8>, Time, Request);

/// Orders the workspaces: by the priority of the first entry, then by what each had already.
type Turn = (Reverse<u8>, u64, Workspace);

/// The waiting requests of a daemon.
#[derive(Debug, Default)]
pub struct Queue {
    lines: Map<Workspace, Line>,
    /// Workspaces with a line that is not blocked.
    turns: BTreeSet<Turn>,
    /// All entries, by the time when they are given up.
    expiry: BTreeSet<(Time, Request)>,
    places: Map<Request, (Workspace, Rank)>,
    /// Entries of each priority.
    priorities: BTreeMap<u8, usize>,
    /// The turn of the line that was served last.
    clock: u64,
}

/// The waiting requests of one workspace.
#[derive(Debug, Default)]
struct Line {
    entries: BTreeMap<Rank, Entry>,
    tokens: u64,
    /// Tokens that it had when it was last served, on the scale of [`Queue::clock`].
    turn: u64,
    blocked: bool,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Requests of a workspace that wait.
    pub fn waiting(&self, workspace: &Workspace) -> usize {
        self.lines.get(workspace).map_or(0, |it| it.entries.len())
    }

    /// Tokens that the waiting requests of a workspace are expected to use.
    pub fn tokens(&self, workspace: &Workspace) -> u64 {
        self.lines.get(workspace).map_or(0, |it| it.tokens)
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: &Workspace, entry: Entry) {
        let rank = entry.rank();
        let clock = self.clock;
        let line = self.lines.entry(workspace.clone()).or_default();
        if let Some(turn) = line.key(workspace) {
            self.turns.remove(&turn);
        }
        if line.entries.is_empty() {
            line.turn = line.turn.max(clock);
        }
        line.entries.insert(rank, entry);
        line.tokens += entry.tokens;
        self.turns.extend(line.key(workspace));
        self.expiry.insert((entry.start_by, entry.request));
        self.places.insert(entry.request, (workspace.clone(), rank));
        *self.priorities.entry(entry.priority).or_default() += 1;
    }

    /// The workspace whose turn it is.
    pub fn next(&self) -> Option<Workspace> {
        self.turns.first().map(|(_, _, workspace)| workspace.clone())
    }

    /// Takes out the first request of a workspace, which has had its turn then.
    pub fn pop(&mut self, workspace: &Workspace) -> Option<Entry> {
        let line = self.lines.get(workspace)?;
        let entry = *line.entries.values().next()?;
        self.clock = self.clock.max(line.turn);
        self.take(workspace, entry.rank(), entry.tokens.max(1))
    }

    /// The first waiting request that is accepted, in the order in which requests are served. A
    /// request that is not accepted does not hold up those behind it.
    pub fn first(&self, accepts: impl Fn(&Entry) -> bool) -> Option<Entry> {
        let mut first: Option<(Turn, Entry)> = None;
        for (workspace, line) in &self.lines {
            let mut entries = line.entries.iter();
            let Some((rank, entry)) = entries.find(|(_, it)| accepts(it)) else {
                continue;
            };
            let turn = (rank.0, line.turn, workspace.clone());
            if first.as_ref().is_none_or(|(it, _)| turn < *it) {
                first = Some((turn, *entry));
            }
        }
        first.map(|(_, entry)| entry)
    }

    /// Takes out a request whose workspace has had its turn then, wherever it waits.
    pub fn serve(&mut self, request: Request) -> Option<Entry> {
        let (workspace, rank) = self.places.get(&request)?.clone();
        let line = self.lines.get(&workspace)?;
        let entry = *line.entries.get(&rank)?;
        self.clock = self.clock.max(line.turn);
        self.take(&workspace, rank, entry.tokens.max(1))
    }

    /// Tokens of the waiting requests that are likely to be served before one of this workspace,
    /// priority and size: of those that count, no more than a turn of every workspace for each of
    /// its own. More urgent ones are counted in full.
    pub fn tokens_ahead(
        &self,
        workspace: &Workspace,
        priority: u8,
        tokens: u64,
        counts: impl Fn(&Entry) -> bool,
    ) -> u64 {
        let (mut urgent, mut equal, mut own) = (0, 0, 0);
        for (other, line) in &self.lines {
            for entry in line.entries.values().filter(|it| counts(it)) {
                match entry.priority.cmp(&priority) {
                    Ordering::Greater => urgent += entry.tokens,
                    Ordering::Equal => equal += entry.tokens,
                    Ordering::Less => {}
                }
                if other == workspace && entry.priority >= priority {
                    own += entry.tokens;
                }
            }
        }
        let turns = (own + tokens) * self.lines.len().max(1) as u64;
        urgent + turns.min(equal)
    }

    /// Takes out a request, if it waits.
    pub fn remove(&mut self, request: Request) -> Option<Entry> {
        let (workspace, rank) = self.places.get(&request)?.clone();
        self.take(&workspace, rank, 0)
    }

    /// Takes out the requests that can no longer make their deadline.
    pub fn expired(&mut self, now: Time) -> Vec<Entry> {
        let mut expired = Vec::new();
        while let Some((start_by, request)) = self.expiry.first().copied() {
            if start_by >= now {
                break;
            }
            expired.extend(self.remove(request));
        }
        expired
    }

    /// Passes a workspace over until it is woken.
    pub fn block(&mut self, workspace: &Workspace) {
        let Some(line) = self.lines.get_mut(workspace) else {
            return;
        };
        if let Some(turn) = line.key(workspace) {
            self.turns.remove(&turn);
        }
        line.blocked = true;
    }

    /// Ends the blocking of a workspace.
    pub fn wake(&mut self, workspace: &Workspace) {
        let Some(line) = self.lines.get_mut(workspace) else {
            return;
        };
        line.blocked = false;
        self.turns.extend(line.key(workspace));
    }

    /// Ends the blocking of all workspaces.
    pub fn wake_all(&mut self) {
        let (clock, idle) = (self.clock, self.places.is_empty());
        self.lines.retain(|_, it| !it.entries.is_empty() || (it.turn > clock && !idle));
        for (workspace, line) in &mut self.lines {
            if !line.blocked {
                continue;
            }
            line.blocked = false;
            self.turns.extend(line.key(workspace));
        }
    }

    /// Whether a new request of this workspace and priority would have to wait for others.
    pub fn is_before(&self, workspace: &Workspace, priority: u8) -> bool {
        if self.waiting(workspace) > 0 {
            return true;
        }
        let first = self.turns.first();
        first.is_some_and(|(Reverse(it), _, _)| *it >= priority)
    }

    /// How many waiting requests are likely to be served before a new one of this workspace
    /// and priority: no more than a turn of every workspace for each of its own.
    pub fn ahead(&self, workspace: &Workspace, priority: u8) -> usize {
        let others: usize = self.priorities.range(priority..).map(|(_, it)| it).sum();
        let turns = (self.waiting(workspace) + 1) * self.lines.len().max(1);
        others.min(turns)
    }

    fn take(&mut self, workspace: &Workspace, rank: Rank, cost: u64) -> Option<Entry> {
        let line = self.lines.get_mut(workspace)?;
        if let Some(turn) = line.key(workspace) {
            self.turns.remove(&turn);
        }
        let entry = line.entries.remove(&rank)?;
        line.tokens -= entry.tokens;
        line.turn += cost;
        self.turns.extend(line.key(workspace));
        self.expiry.remove(&(entry.start_by, entry.request));
        self.places.remove(&entry.request);
        if let Some(count) = self.priorities.get_mut(&entry.priority) {
            *count -= 1;
        }
        if line.entries.is_empty() && line.turn <= self.clock {
            self.lines.remove(workspace);
        }
        Some(entry)
    }
}

impl Line {
    /// Its place among the turns, unless it is blocked or empty.
    fn key(&self, workspace: &Workspace) -> Option<Turn> {
        let ((priority, _, _), _) = self.entries.first_key_value()?;
        (!self.blocked).then(|| (*priority, self.turn, workspace.clone()))
    }
}

impl Entry {
    fn rank(&self) -> Rank {
        (Reverse(self.priority), self.start_by, self.request)
    }
}
