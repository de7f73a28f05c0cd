//! A stand-in for the platform's store of rows: PROTOCOL.md, "The platform's metadata store".
//!
//! Operator and runners write by `POST /standin/put?table=T&key=K`; the body is the value. A row of `servers` is taken
//! away once it wasn't renewed for [`LAPSE`].

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Request},
    json::{self, base64, quote},
};

/// The sheet: 4 ms an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The rows of runners lapse after three heartbeats, of 1,200 ms each.
const LAPSE: Duration = Duration::from_millis(3_600);

type Name = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Values are base64.
    rows: BTreeMap<Name, (u64, String)>,
    log: Vec<(u64, Name, Option<String>)>,
    /// When runners wrote their rows last.
    renewed: BTreeMap<Name, Instant>,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
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

pub fn run(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the store's address");
    let store = Arc::new(Store::default());
    let started = Instant::now();
    let lapses = store.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(100));
            lapses.take_lapsed();
        }
    });
    for stream in listener.incoming().flatten() {
        let store = store.clone();
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(Some(request)) = connection.request() {
                thread::sleep(ANSWER_TIME);
                let now_ms = started.elapsed().as_millis();
                let (status, body) = store.answer(&request, now_ms);
                let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
                if connection.answer(status, &headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn row(name: &Name, version: u64, value: Option<&str>) -> String {
    let (table, part, key) = name;
    let value = value.map_or("null".to_owned(), quote);
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!(
        "{{\"table\":{table},\"part\":{part},\"key\":{key},\"value\":{value},\"row_version\":{version}}}"
    )
}

impl Store {
    fn answer(&self, request: &Request, now_ms: u128) -> (u16, String) {
        match request.path() {
            "/tealturn/rows-get" => self.get(request, now_ms),
            "/tealturn/rows-feed" => self.feed(request, now_ms),
            "/tealturn/rows-tx" => self.commit(request, now_ms),
            "/standin/put" => self.put(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn take_lapsed(&self) {
        let mut state = self.state.lock().expect("no panic");
        let lapsed = state.renewed.iter().filter(|it| it.1.elapsed() >= LAPSE);
        let lapsed: Vec<Name> = lapsed.map(|it| it.0.clone()).collect();
        for name in lapsed {
            state.renewed.remove(&name);
            state.version += 1;
            state.change(name, None);
        }
        self.changed.notify_all();
    }

    fn put(&self, request: &Request) -> (u16, String) {
        let field = |name: &str| request.query(name).unwrap_or_default();
        let name = (field("table"), String::new(), field("key"));
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        if name.0 == "servers" {
            state.renewed.insert(name.clone(), Instant::now());
        }
        state.change(name, Some(base64(&request.body)));
        self.changed.notify_all();
        (200, format!("{{\"row_version\":{}}}", state.version))
    }

    fn get(&self, request: &Request, now_ms: u128) -> (u16, String) {
        let field = |name: &str| request.query(name).unwrap_or_default();
        let (table, part) = (field("table"), field("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").and_then(|it| it.parse().ok()).unwrap_or(500_usize);
        let state = self.state.lock().expect("no panic");
        let mut rows = Vec::new();
        let mut has_more = false;
        for (name, (version, value)) in &state.rows {
            let is_wanted = name.0 == table
                && name.1 == part
                && from.as_ref().is_none_or(|it| name.2 >= *it)
                && to.as_ref().is_none_or(|it| name.2 < *it);
            if !is_wanted {
                continue;
            }
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(row(name, *version, Some(value)));
        }
        let (rows, version) = (rows.join(","), state.version);
        let body = format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now_ms}}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Request, now_ms: u128) -> (u16, String) {
        let number = |name: &str| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = self.state.lock().expect("no panic");
        loop {
            let mut rows = Vec::new();
            for (version, name, value) in &state.log {
                if *version > after && name.0 == table {
                    let mut text = row(name, *version, value.as_deref());
                    if value.is_none() {
                        text.pop();
                        text.push_str(",\"deleted\":true}");
                    }
                    rows.push(text);
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version) = (rows.join(","), state.version);
                let body =
                    format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":{now_ms}}}");
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn commit(&self, request: &Request, now_ms: u128) -> (u16, String) {
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let name = |it: &json::Value| {
            let text = |field: &str| it.text(field).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let writes = body.list("puts").iter().chain(body.list("delete"));
        if writes.clone().any(|it| matches!(it.text("table"), Some("op" | "servers"))) {
            return (403, "{}".to_owned());
        }
        let mut state = self.state.lock().expect("no panic");
        let (mut is_met, mut current) = (true, Vec::new());
        for expected in body.list("expected") {
            let name = name(expected);
            let known = state.rows.get(&name);
            let version = known.map_or(0, |it| it.0);
            is_met &= expected.number("row_version") == Some(version as f64);
            current.push(row(&name, version, known.map(|it| it.1.as_str())));
        }
        if !is_met {
            let (rows, version) = (current.join(","), state.version);
            let body =
                format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":{now_ms}}}");
            return (412, body);
        }
        state.version += 1;
        for put in body.list("puts") {
            let value = put.text("value").unwrap_or_default().to_owned();
            state.change(name(put), Some(value));
        }
        for gone in body.list("delete") {
            state.change(name(gone), None);
        }
        self.changed.notify_all();
        (200, format!("{{\"row_version\":{},\"now_ms\":{now_ms}}}", state.version))
    }
}
