//! The platform's store of rows.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{self, Value},
};

/// Table, part and key.
type Name = (String, String, String);

#[derive(Clone, Default)]
struct State {
    version: u64,
    rows: BTreeMap<Name, (u64, String)>,
    log: Vec<(u64, Name, Option<String>)>,
    is_down: bool,
    era: u64,
}

/// What the store held at a moment.
pub struct Copy(State);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Store::default());
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator and the runners do, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.change(name, value.map(|it| json::base64(it.as_bytes())));
        drop(state);
        self.changed.notify_all();
    }

    /// While it is down, calls get no answer, and nothing is done.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Comes back from an older copy: what was written since is gone, and its versions are given out
    /// again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.lock();
        let era = state.era + 1;
        *state = State { era, is_down: false, ..copy.0 };
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(request) = http::read_request(&mut reader) {
            // A channel on which an answer is lost delivers nothing further.
            let (status, body) = self.answer(&request)?;
            let era = self.lock().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            http::answer(&mut stream, status, &headers, &body)?;
        }
        Some(())
    }

    /// The answer, or nothing if the store went down before it. The channel is then held until the
    /// store is back.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let answer = match request.path() {
            _ if self.lock().is_down => None,
            "/tealturn/rows-get" => Some((200, self.rows(request)?)),
            "/tealturn/rows-feed" => self.feed(request),
            "/tealturn/rows-tx" => {
                let body = json::parse(std::str::from_utf8(&request.body).ok()?)?;
                Some(self.commit(&body)?)
            }
            _ => Some((404, "{}".to_owned())),
        };
        let mut state = self.lock();
        while answer.is_none() && state.is_down {
            state = self.changed.wait(state).unwrap_or_else(|it| it.into_inner());
        }
        answer
    }

    fn rows(&self, request: &Request) -> Option<String> {
        let (table, part) = (request.query("table")?, request.query("part").unwrap_or_default());
        let (from, to) = (request.query("from").unwrap_or_default(), request.query("to"));
        let state = self.lock();
        let within = |(it, its_part, key): &Name| {
            *it == table
                && *its_part == part
                && *key >= from
                && to.as_ref().is_none_or(|to| key < to)
        };
        let rows = state.rows.iter().filter(|(name, _)| within(name));
        let rows: Vec<_> =
            rows.map(|(name, (version, it))| row(name, *version, Some(it))).collect();
        let version = state.version;
        Some(format!(
            "{{\"rows\":[{}],\"has_more\":false,\"row_version\":{version},\"now_ms\":0}}",
            rows.join(",")
        ))
    }

    fn feed(&self, request: &Request) -> Option<(u16, String)> {
        let table = request.query("table")?;
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait = Duration::from_millis(request.query("wait_ms")?.parse().ok()?);
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down {
                return None;
            }
            if after > state.version || era != state.era {
                return Some((410, "{}".to_owned()));
            }
            let changes = state.log.iter().filter(|(version, ..)| *version > after);
            let changes = changes.filter(|(_, name, _)| name.0 == table);
            let rows: Vec<_> =
                changes.map(|(version, name, value)| row(name, *version, value.as_ref())).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version) = (rows.join(","), state.version);
                let body = format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":0}}");
                return Some((200, body));
            }
            state = match self.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(it) => it.into_inner().0,
            };
        }
    }

    fn commit(&self, body: &Value) -> Option<(u16, String)> {
        let name = |it: &Value| {
            let text = |field| it.text(field).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        let mut current = Vec::new();
        let mut is_expected = true;
        for expected in body.list("expected") {
            let name = name(expected);
            let known = state.rows.get(&name);
            let version = known.map_or(0, |it| it.0);
            is_expected &= expected.number("row_version") == Some(version);
            current.push(row(&name, version, known.map(|it| &it.1)));
        }
        if !is_expected {
            let (rows, version) = (current.join(","), state.version);
            return Some((412, format!("{{\"rows\":[{rows}],\"row_version\":{version}}}")));
        }
        state.version += 1;
        for put in body.list("puts") {
            let value = put.text("value")?.to_owned();
            state.change(name(put), Some(value));
        }
        for gone in body.list("delete") {
            state.change(name(gone), None);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        Some((200, format!("{{\"row_version\":{version},\"now_ms\":0}}")))
    }
}

impl State {
    fn change(&mut self, name: Name, value: Option<String>) {
        match &value {
            Some(value) => drop(self.rows.insert(name.clone(), (self.version, value.clone()))),
            None => drop(self.rows.remove(&name)),
        }
        self.log.push((self.version, name, value));
    }
}

fn row((table, part, key): &Name, version: u64, value: Option<&String>) -> String {
    let (table, part, key) = (json::quote(table), json::quote(part), json::quote(key));
    let (text, deleted) = (value.map_or("null".to_owned(), |it| json::quote(it)), value.is_none());
    format!(
        "{{\"table\":{table},\"part\":{part},\"key\":{key},\"value\":{text},\
         \"row_version\":{version},\"deleted\":{deleted}}}"
    )
}
