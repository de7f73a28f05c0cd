//! A stand-in of the platform's metadata store, and the operator and the runners' heartbeats that write to it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    text::{self, Json},
};

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Base64; `None` once it is dropped.
    value: Option<String>,
    version: u64,
}

/// All rows.
#[derive(Clone, Default)]
pub struct Rows {
    rows: BTreeMap<Key, Row>,
    version: u64,
    is_down: bool,
    /// How often the store has come back from a copy.
    era: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(ip: &str) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let shared = store.clone();
        http::serve(listener, move |request, stream| shared.answer(request, stream));
        (store, address)
    }

    /// Writes a row as the operator or a runner does. Its return is the confirmation.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: Some(text::base64(value.as_bytes())), version: rows.version };
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Answers all calls 503 until it is back.
    pub fn go_down(&self) {
        self.rows.lock().unwrap().is_down = true;
        self.changed.notify_all();
    }

    /// A copy of all rows.
    pub fn copy(&self) -> Rows {
        self.rows.lock().unwrap().clone()
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: Rows) {
        let mut rows = self.rows.lock().unwrap();
        *rows = Rows { era: rows.era + 1, is_down: false, ..copy };
        self.changed.notify_all();
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: None, version: rows.version };
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Is back as it was.
    pub fn be_back(&self) {
        self.rows.lock().unwrap().is_down = false;
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
        let path = request.target.split('?').next().unwrap_or_default();
        let query = text::query(&request.target);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let before = self.state();
        let (mut status, mut body) = match path {
            _ if before.0 => Default::default(),
            "/tealturn/rows-get" => ("200 OK", self.get(&field)),
            "/tealturn/rows-feed" => self.feed(&field),
            "/tealturn/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let (is_down, era) = self.state();
        if is_down || (is_down, era) != before {
            (status, body) = ("503 Service Unavailable", "{}".to_owned());
        }
        let head = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
        http::reply(stream, status, &head, &body)
    }

    /// Whether the store is down, and its era.
    fn state(&self) -> (bool, u64) {
        let rows = self.rows.lock().unwrap();
        (rows.is_down, rows.era)
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, field: &dyn Fn(&str) -> String) -> String {
        let rows = self.rows.lock().unwrap();
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let limit = field("limit").parse().unwrap_or(500).min(500);
        let is_wanted = |((t, p, key), row): &(&Key, &Row)| {
            let in_range = *key >= from && (to.is_empty() || *key < to);
            *t == table && *p == part && in_range && row.value.is_some()
        };
        let wanted: Vec<_> = rows.rows.iter().filter(is_wanted).collect();
        let texts: Vec<_> =
            wanted.iter().take(limit).map(|(key, row)| row_text(key, row)).collect();
        let more = wanted.len() > limit;
        let (version, now) = (rows.version, self.now_ms());
        format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"row_version\":{version},\"now_ms\":{now}}}",
            texts.join(",")
        )
    }

    fn feed(&self, field: &dyn Fn(&str) -> String) -> (&'static str, String) {
        let (table, after) = (field("table"), field("after").parse::<u64>().unwrap_or(0));
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        let era = rows.era;
        loop {
            if rows.is_down || rows.era != era || after > rows.version {
                return ("410 Gone", "{}".to_owned());
            }
            let is_new = |((t, _, _), row): &(&Key, &Row)| *t == table && row.version > after;
            let mut new: Vec<_> = rows.rows.iter().filter(is_new).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                new.sort_by_key(|(_, row)| row.version);
                let texts: Vec<_> = new.iter().map(|(key, row)| row_text(key, row)).collect();
                let (version, now) = (rows.version, self.now_ms());
                let rows = texts.join(",");
                let body =
                    format!("{{\"rows\":[{rows}],\"row_version\":{version},\"now_ms\":{now}}}");
                return ("200 OK", body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(call) = text::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |it: &Json| {
            let field = |name: &str| it.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let (puts, drops) = (call.get("puts").list(), call.get("delete").list());
        if puts.iter().chain(drops).any(|it| ["op", "servers"].contains(&it.get("table").text())) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &Key| {
            rows.rows.get(key).filter(|it| it.value.is_some()).map_or(0, |it| it.version)
        };
        let expected = call.get("expected").list();
        let holds =
            |it: &Json| Some(version_of(&rows, &key(it)) as f64) == it.get("row_version").number();
        if !expected.iter().all(holds) {
            let found = expected.iter().map(&key);
            let found = found.filter_map(|it| rows.rows.get(&it).map(|row| row_text(&it, row)));
            let texts: Vec<_> = found.collect();
            let now = self.now_ms();
            let version = rows.version;
            let body = format!(
                "{{\"rows\":[{}],\"row_version\":{version},\"now_ms\":{now}}}",
                texts.join(",")
            );
            return ("412 Precondition Failed", body);
        }
        rows.version += 1;
        let version = rows.version;
        for put in puts {
            let value = Some(put.get("value").text().to_owned());
            rows.rows.insert(key(put), Row { value, version });
        }
        for drop in drops {
            rows.rows.insert(key(drop), Row { value: None, version });
        }
        self.changed.notify_all();
        let now = self.now_ms();
        ("200 OK", format!("{{\"row_version\":{version},\"now_ms\":{now}}}"))
    }
}

fn row_text((table, part, key): &Key, row: &Row) -> String {
    let head = format!("\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\"");
    let version = row.version;
    match &row.value {
        Some(value) => format!("{{{head},\"value\":\"{value}\",\"row_version\":{version}}}"),
        None => format!("{{{head},\"row_version\":{version},\"deleted\":true}}"),
    }
}
