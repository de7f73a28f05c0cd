//! What the callers of a deployment ask for: seeded, and the same for each run of a seed.
//!
//! A prompt has three levels that are shared (a handbook or regulation, the workspace's
//! conventions, a page or file) and ends with a question of its own.

use std::sync::Arc;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    collections::Map,
    kernel::id::{Model, Service, Workspace, Zone},
    prefix::TOKEN_BYTES,
};

/// Who the callers are.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The deployment's name.
    pub name: &'static str,
    /// The zones that callers are in.
    pub zones: Vec<Zone>,
    /// The model they ask.
    pub model: Model,
    /// The plain service they call.
    pub service: Service,
    /// A call of that service that may not be repeated.
    pub path: &'static str,
    /// The workspaces; a few are large.
    pub workspaces: Vec<Share>,
    /// Handbooks or regulations of each workspace.
    pub handbooks: usize,
    /// Pages or files that are read with each handbook.
    pub pages: usize,
}

/// A workspace's part of the traffic.
#[derive(Clone, Debug)]
pub struct Share {
    /// The workspace.
    pub workspace: Workspace,
    /// Its part, relative to the others.
    pub weight: u32,
}

impl Profile {
    /// Nortebraço Software: the staff of small firms.
    pub fn nortebraco() -> Profile {
        Profile {
            name: "nortebraco",
            zones: zones(&["sala-a", "sala-b", "sala-c"]),
            model: Model::from("assistente"),
            service: Service::from("wiki-app"),
            path: "pages",
            workspaces: shares(&[
                ("notario-avenida", 30),
                ("clinica-ribeira", 25),
                ("cooperativa-sul", 15),
                ("atelier-norte", 10),
                ("notario-bolhao", 8),
                ("clinica-foz", 6),
                ("cooperativa-douro", 4),
                ("atelier-baixa", 2),
            ]),
            handbooks: 3,
            pages: 24,
        }
    }

    /// Cascade Wingline Renewals: the counters of a franchise.
    pub fn cascade() -> Profile {
        Profile {
            name: "cascade",
            zones: zones(&["seattle-hall", "pdx-hall", "spokane-hall", "tacoma-hall"]),
            model: Model::from("tealturn-lm"),
            service: Service::from("counter-app"),
            path: "check-rides",
            workspaces: shares(&[
                ("counter-seattle", 30),
                ("counter-portland", 25),
                ("counter-spokane", 15),
                ("counter-tacoma", 10),
                ("counter-boise", 8),
                ("counter-eugene", 6),
                ("counter-yakima", 4),
                ("counter-bend", 2),
            ]),
            handbooks: 4,
            pages: 24,
        }
    }

    /// The profile of a deployment.
    pub fn named(name: &str) -> Option<Profile> {
        match name {
            "nortebraco" => Some(Profile::nortebraco()),
            "cascade" => Some(Profile::cascade()),
            _ => None,
        }
    }

    /// The credential of a workspace's callers.
    pub fn credential(&self, workspace: &Workspace) -> String {
        format!("{}-{workspace}-credential", self.name)
    }
}

/// One thing that a caller wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The caller's workspace.
    pub workspace: Workspace,
    /// The caller's zone.
    pub zone: Zone,
    /// What is asked.
    pub kind: Kind,
}

/// What is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An answer of the model.
    Completion {
        /// The prompt.
        prompt: String,
        /// Byte offsets where its shared levels end.
        levels: Vec<usize>,
        /// The length of the answer, in tokens.
        max_tokens: u32,
    },
    /// A call of the plain service that may not be repeated.
    Booking {
        /// Names the call.
        key: String,
        /// The body.
        body: String,
    },
}

/// Of the calls, one in so many is a booking.
const BOOKING_ONE_IN: u32 = 20;

const HANDBOOK_TOKENS: usize = 4_096;
const CONVENTIONS_TOKENS: usize = 1_024;
const PAGE_TOKENS: usize = 1_024;
const QUESTION_TOKENS: usize = 48;
const MIN_ANSWER_TOKENS: u32 = 8;
const MAX_ANSWER_TOKENS: u32 = 24;

const WORDS: [&str; 16] = [
    "acta",
    "ficha",
    "prazo",
    "medical",
    "logbook",
    "notice",
    "taxa",
    "renewal",
    "folha",
    "clause",
    "utente",
    "rating",
    "escritura",
    "check",
    "quota",
    "page",
];

/// Makes calls.
pub struct Traffic {
    profile: Profile,
    seed: u64,
    random: StdRng,
    calls: u64,
    edition: u32,
    texts: Map<Text, Arc<str>>,
}

/// Names a shared text.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Text {
    Handbook(usize, usize, u32),
    Conventions(usize),
    Page(usize, usize, usize),
}

impl Traffic {
    /// The calls of `seed`.
    pub fn new(profile: Profile, seed: u64) -> Traffic {
        Traffic {
            profile,
            seed,
            random: StdRng::seed_from_u64(seed),
            calls: 0,
            edition: 0,
            texts: Map::default(),
        }
    }

    /// Every workspace's most used handbook comes in a new edition.
    pub fn shift(&mut self) {
        self.edition += 1;
    }

    /// Time until the next call at `rate` calls a second, in seconds.
    pub fn gap(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -(1.0 - uniform).ln() / rate
    }

    /// The next call.
    pub fn call(&mut self) -> Call {
        self.calls += 1;
        let place = self.pick_workspace();
        let zones = self.profile.zones.len();
        let zone = self.random.random_range(0..zones);
        let kind = match self.random.random_range(0..BOOKING_ONE_IN) {
            0 => self.booking(),
            _ => self.completion(place),
        };
        Call {
            workspace: self.profile.workspaces[place].workspace.clone(),
            zone: self.profile.zones[zone].clone(),
            kind,
        }
    }

    fn pick_workspace(&mut self) -> usize {
        let weights = self.profile.workspaces.iter().map(|it| it.weight);
        let mut left = self.random.random_range(0..weights.sum());
        for (place, share) in self.profile.workspaces.iter().enumerate() {
            if left < share.weight {
                return place;
            }
            left -= share.weight;
        }
        0
    }

    fn booking(&mut self) -> Kind {
        Kind::Booking {
            key: format!("{:x}-{}", self.seed, self.calls),
            body: format!("{{\"booking\":{}}}", self.calls),
        }
    }

    fn completion(&mut self, workspace: usize) -> Kind {
        let handbook = self.skewed(self.profile.handbooks);
        let page = self.skewed(self.profile.pages);
        let edition = if handbook == 0 { self.edition } else { 0 };
        let shared = [
            (Text::Handbook(workspace, handbook, edition), HANDBOOK_TOKENS),
            (Text::Conventions(workspace), CONVENTIONS_TOKENS),
            (Text::Page(workspace, handbook, page), PAGE_TOKENS),
        ];
        let mut prompt = String::new();
        let mut levels = Vec::new();
        for (name, tokens) in shared {
            prompt.push_str(&self.text(name, tokens));
            levels.push(prompt.len());
        }
        let question = words(&mut self.random, QUESTION_TOKENS);
        prompt.push_str(&format!("{} {question}", self.calls));
        Kind::Completion {
            prompt,
            levels,
            max_tokens: self.random.random_range(MIN_ANSWER_TOKENS..=MAX_ANSWER_TOKENS),
        }
    }

    /// A place below `count`; each is about half as likely as the place of half its rank.
    fn skewed(&mut self, count: usize) -> usize {
        let uniform: f64 = self.random.random();
        let place = (count as f64 + 1.0).powf(uniform) - 1.0;
        (place as usize).min(count - 1)
    }

    fn text(&mut self, name: Text, tokens: usize) -> Arc<str> {
        let seed = self.seed;
        let text = self.texts.entry(name).or_insert_with(|| {
            let digest = blake3::hash(format!("{seed} {name:?}").as_bytes());
            let mut random = StdRng::from_seed(*digest.as_bytes());
            Arc::from(words(&mut random, tokens))
        });
        text.clone()
    }
}

/// Text of exactly so many tokens.
fn words(random: &mut StdRng, tokens: usize) -> String {
    let bytes = tokens * TOKEN_BYTES;
    let mut text = String::with_capacity(bytes + 16);
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(bytes);
    text
}

fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|it| Zone::from(*it)).collect()
}

fn shares(shares: &[(&str, u32)]) -> Vec<Share> {
    let share =
        |(name, weight): &(&str, u32)| Share { workspace: Workspace::from(*name), weight: *weight };
    shares.iter().map(share).collect()
}
