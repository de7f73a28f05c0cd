//! The check of a daemon's settings: every fault, with its line, what was found and what is
//! allowed.

use std::{fmt, net::SocketAddr};

use tracing_subscriber::EnvFilter;

use crate::{
    route,
    settings::tree::{Line, Node},
};

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest lifetime of an address list, in seconds.
pub const MAX_ADDRESS_LIFETIME_S: i64 = 300;

/// The most weight loads at once that can be allowed.
pub const MAX_WEIGHT_LOADS: i64 = 64;

/// The most seeds.
pub const MAX_SEEDS: usize = 1_024;

/// What a key takes.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Name,
    /// An address to listen on.
    Listen,
    /// An address to connect to.
    Connect,
    Seeds,
    Policy,
    Number {
        least: i64,
        most: i64,
        unit: &'static str,
    },
    OneOf(&'static [&'static str]),
    Filter,
    Map(&'static [Field]),
}

/// A key.
#[derive(Clone, Copy, Debug)]
struct Field {
    key: &'static str,
    required: bool,
    kind: Kind,
}

const fn required(key: &'static str, kind: Kind) -> Field {
    Field { key, required: true, kind }
}

const fn optional(key: &'static str, kind: Kind) -> Field {
    Field { key, required: false, kind }
}

const LISTEN: &[Field] = &[
    required("caller", Kind::Listen),
    required("peer", Kind::Listen),
    required("operator", Kind::Listen),
];

const PLATFORM: &[Field] = &[required("table", Kind::Connect), required("vms", Kind::Connect)];

const LOG: &[Field] =
    &[optional("format", Kind::OneOf(&["text", "json"])), optional("filter", Kind::Filter)];

const LIFETIME: Kind = Kind::Number { least: 1, most: MAX_ADDRESS_LIFETIME_S, unit: "seconds" };

const LOADS: Kind = Kind::Number { least: 1, most: MAX_WEIGHT_LOADS, unit: "loads at once" };

const DAEMON: &[Field] = &[
    required("deployment", Kind::Name),
    required("daemon", Kind::Name),
    required("zone", Kind::Name),
    required("listen", Kind::Map(LISTEN)),
    required("platform", Kind::Map(PLATFORM)),
    optional("seeds", Kind::Seeds),
    optional("policy", Kind::Policy),
    optional("address_lifetime_s", LIFETIME),
    optional("weight_loads", LOADS),
    optional("log", Kind::Map(LOG)),
];

/// All faults of a daemon's settings, each as `FILE:LINE: KEY: found, allowed`.
pub fn daemon(file: &str, root: &Line) -> Vec<String> {
    let mut check = Check { file, faults: Vec::new() };
    check.map("", root, DAEMON);
    check.distinct(root);
    check.faults
}

struct Check<'a> {
    file: &'a str,
    faults: Vec<String>,
}

impl Check<'_> {
    fn fault(&mut self, line: u64, path: &str, reason: impl fmt::Display) {
        let file = self.file;
        self.faults.push(format!("{file}:{line}: {path}: {reason}"));
    }

    fn wrong(&mut self, path: &str, line: &Line, allowed: impl fmt::Display) {
        let reason = format!("found {}, allowed is {allowed}", line.node);
        self.fault(line.number, path, reason);
    }

    fn map(&mut self, path: &str, line: &Line, fields: &[Field]) {
        let keys: Vec<_> = fields.iter().map(|it| it.key).collect();
        let keys = keys.join(", ");
        let Node::Map(entries) = &line.node else {
            let path = if path.is_empty() { "the file" } else { path };
            return self.wrong(path, line, format!("a mapping with the keys {keys}"));
        };
        for (key, value) in entries {
            let path = join(path, key);
            match fields.iter().find(|it| it.key == key) {
                Some(field) => self.value(&path, value, field.kind),
                None => {
                    let reason = format!("unknown key, allowed are {keys}");
                    self.fault(value.number, &path, reason);
                }
            }
        }
        for field in fields.iter().filter(|it| it.required) {
            if line.get(field.key).is_none() {
                let reason = format!("missing, required is {}", field.kind);
                self.fault(line.number, &join(path, field.key), reason);
            }
        }
    }

    fn value(&mut self, path: &str, line: &Line, kind: Kind) {
        let valid = match (kind, &line.node) {
            (Kind::Map(fields), _) => return self.map(path, line, fields),
            (Kind::Seeds, Node::List(items)) if items.len() <= MAX_SEEDS => {
                for (place, item) in items.iter().enumerate() {
                    self.value(&format!("{path}[{place}]"), item, Kind::Connect);
                }
                return;
            }
            (Kind::Name, Node::Text(text)) => is_name(text),
            (Kind::Listen, Node::Text(text)) => address(text).is_some(),
            (Kind::Connect, Node::Text(text)) => address(text).is_some_and(|it| it.port() != 0),
            (Kind::Policy, Node::Text(text)) => route::policies().contains(&text.as_str()),
            (Kind::Number { least, most, .. }, Node::Integer(value)) => {
                (least..=most).contains(value)
            }
            (Kind::OneOf(words), Node::Text(text)) => words.contains(&text.as_str()),
            (Kind::Filter, Node::Text(text)) => EnvFilter::try_new(text).is_ok(),
            _ => false,
        };
        if !valid {
            self.wrong(path, line, kind);
        }
    }

    /// Two listeners cannot share an address, unless the system chooses the ports.
    fn distinct(&mut self, root: &Line) {
        let Some(Node::Map(entries)) = root.get("listen").map(|it| &it.node) else {
            return;
        };
        for (place, (key, line)) in entries.iter().enumerate() {
            let Node::Text(text) = &line.node else {
                continue;
            };
            if address(text).is_none_or(|it| it.port() == 0) {
                continue;
            }
            let other = entries[..place].iter().find(|(_, it)| it.node == line.node);
            if let Some((other, _)) = other {
                let path = join("listen", key);
                let allowed = format!("an address other than that of listen.{other}");
                self.wrong(&path, line, allowed);
            }
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Name => {
                write!(f, "a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'")
            }
            Kind::Listen => f.write_str(
                "IP:PORT with an address of this VM that others can reach, such as 10.0.0.1:7000",
            ),
            Kind::Connect => f.write_str("IP:PORT with a port above 0, such as 10.0.0.1:7000"),
            Kind::Seeds => write!(f, "a list of at most {MAX_SEEDS} IP:PORT"),
            Kind::Policy => write!(f, "one of {}", route::policies().join(", ")),
            Kind::Number { least, most, unit } => write!(f, "{least} to {most} ({unit})"),
            Kind::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            Kind::Filter => f.write_str("a tracing filter, such as info or tealturn::fleet=debug"),
            Kind::Map(fields) => {
                let keys: Vec<_> = fields.iter().map(|it| it.key).collect();
                write!(f, "a mapping with the keys {}", keys.join(", "))
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

fn is_name(text: &str) -> bool {
    let allowed = |it: char| it.is_alphanumeric() || "-_.".contains(it);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

fn address(text: &str) -> Option<SocketAddr> {
    let address = text.parse::<SocketAddr>().ok()?;
    (!address.ip().is_unspecified()).then_some(address)
}
