//! Which daemons there are and which of them live, free of I/O.
//!
//! What is known of a run of a daemon only grows: its beat rises, and once it leaves it never
//! comes back; a later run replaces it. A daemon is live while its beat rises often enough. A run
//! that is not is kept for [`MEMORY`], so that an old message cannot make it look new.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, ops::Bound, time::Duration};

use rand::{Rng, RngExt, seq::IteratorRandom};

use crate::{
    collections::Map,
    fleet::{
        member::Member,
        message::{Beat, Load, Record},
    },
    kernel::{clock::Time, id::Daemon},
};

/// A daemon of a small fleet is not live when nothing was heard of it for this long.
pub const SILENCE: Duration = Duration::from_millis(5_000);

/// Daemons whose beats fit into one message. A larger fleet hears of each less often, and waits
/// longer in proportion.
pub const BEATS: usize = 32;

/// The longest silence, whatever the number of daemons.
pub const MAX_SILENCE: Duration = Duration::from_secs(60);

/// The longest time in which all daemons of a small fleet learn that one leaves: those that it
/// cannot tell drop it for its silence.
pub const MAX_LEAVE: Duration = SILENCE;

/// How long a silent run is remembered.
pub const MEMORY: Duration = Duration::from_secs(600);

/// Daemons that are kept.
pub const MAX_DAEMONS: usize = 1_024;

/// Messages that carry a record first of all, after it changed.
const RUMOUR_SENDS: u32 = 6;

/// The daemons that this one knows, itself left out.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Ordered, so that equal random numbers choose equal daemons.
    peers: BTreeMap<Daemon, Peer>,
    tags: Map<u32, Daemon>,
    cursor: usize,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    beat: u64,
    load: Load,
    heard: Time,
    /// It refused a connection after it was heard last.
    refused: bool,
    sends: u32,
}

/// What a merge changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A run that was not known.
    Joined(Member),
    /// A run that now leaves.
    Left(Member),
}

impl Roster {
    /// Merges what is known of a daemon.
    pub fn merge(&mut self, now: Time, record: &Record) -> Option<Change> {
        let heard = now - Duration::from_millis(u64::from(record.quiet_ms));
        let new = &record.member;
        let Some(peer) = self.peers.get_mut(&new.daemon) else {
            return self.insert(now, heard, record);
        };
        if new.incarnation < peer.member.incarnation {
            return None;
        }
        if new.incarnation > peer.member.incarnation {
            return self.insert(now, heard, record);
        }
        peer.hear(record.beat, record.load, heard);
        if !new.leaving || peer.member.leaving {
            return None;
        }
        peer.member.leaving = true;
        peer.sends = 0;
        Some(Change::Left(peer.member.clone()))
    }

    /// Merges a beat, if its daemon is known.
    pub fn beat(&mut self, now: Time, beat: &Beat) {
        let daemon = self.tags.get(&beat.tag);
        let Some(peer) = daemon.and_then(|it| self.peers.get_mut(it)) else {
            return;
        };
        let heard = now - Duration::from_millis(u64::from(beat.quiet_ms));
        peer.hear(beat.beat, beat.load, heard);
    }

    /// Takes note that an address refused a connection: the daemon there is not live until it is
    /// heard of again. Silence, in contrast, may come from a cut in one direction.
    pub fn refused(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut() {
            if peer.member.peer == address {
                peer.refused = true;
            }
        }
    }

    /// After this daemon itself was paused: the silence of others in that time says nothing.
    pub fn paused(&mut self, pause: Duration) {
        for peer in self.peers.values_mut() {
            peer.heard = peer.heard + pause;
        }
    }

    /// Forgets the runs that have been silent for long.
    pub fn forget(&mut self, now: Time) {
        let kept = |peer: &Peer| now.since(peer.heard) < MEMORY;
        self.peers.retain(|_, it| kept(it));
        let peers = &self.peers;
        self.tags.retain(|_, it| peers.contains_key(it));
    }

    /// The live daemons, in no order.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let silence = self.silence();
        let live = move |it: &&Peer| it.is_live(now, silence);
        self.peers.values().filter(live).map(|it| &it.member)
    }

    /// The live daemons with what they have to do.
    pub fn loads(&self, now: Time) -> impl Iterator<Item = (&Member, Load)> {
        let silence = self.silence();
        let live = move |it: &&Peer| it.is_live(now, silence);
        let live = self.peers.values().filter(live);
        live.map(|it| (&it.member, it.load))
    }

    /// The known run of a daemon.
    pub fn get(&self, daemon: &Daemon) -> Option<&Member> {
        self.peers.get(daemon).map(|it| &it.member)
    }

    /// How many daemons are known, live or not.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no daemon is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// A daemon that is not live, to try whether it can be reached again.
    pub fn silent(&self, now: Time, rng: &mut dyn Rng) -> Option<&Member> {
        let silence = self.silence();
        let silent = self.peers.values().filter(|it| !it.is_live(now, silence));
        silent.map(|it| &it.member).choose(rng)
    }

    /// The silence after which a daemon is not live, at this number of daemons.
    pub fn silence(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let fitting = BEATS as u32;
        SILENCE
            .saturating_mul(daemons.max(fitting))
            .checked_div(fitting)
            .map_or(MAX_SILENCE, |it| it.min(MAX_SILENCE))
    }

    /// The beats for one message: half of them the newest, and the rest drawn at random.
    pub fn beats(&self, now: Time, limit: usize, rng: &mut dyn Rng) -> Vec<Beat> {
        let silence = self.silence();
        let live = self.peers.values().filter(|it| it.is_live(now, silence));
        let mut live: Vec<&Peer> = live.collect();
        if live.len() > limit {
            let newest = limit / 2;
            live.select_nth_unstable_by_key(newest, |it| Reverse(it.heard));
            for place in newest..limit {
                let drawn = rng.random_range(place..live.len());
                live.swap(place, drawn);
            }
            live.truncate(limit);
        }
        live.into_iter().map(|it| it.short(now)).collect()
    }

    /// The records for one message: those that changed lately, then `turn` others in turn.
    pub fn records(&mut self, now: Time, limit: usize, turn: usize) -> Vec<Record> {
        let mut records = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.sends >= RUMOUR_SENDS || records.len() == limit {
                continue;
            }
            peer.sends += 1;
            records.push(peer.record(now));
        }
        let silence = self.silence();
        let live = self.peers.values().filter(|it| it.is_live(now, silence));
        let live: Vec<&Peer> = live.collect();
        for _ in 0..turn.min(live.len()) {
            self.cursor = (self.cursor + 1) % live.len();
            let record = live[self.cursor].record(now);
            if !records.iter().any(|it| it.member == record.member) {
                records.push(record);
            }
        }
        records
    }

    /// The daemons that are live and whose names come after `name`, by name.
    pub fn after(&self, now: Time, name: &Daemon, limit: usize) -> Vec<Record> {
        let silence = self.silence();
        let after = (Bound::Excluded(name), Bound::Unbounded);
        let after = self.peers.range::<Daemon, _>(after).map(|(_, it)| it);
        let live = after.filter(|it| it.is_live(now, silence));
        live.take(limit).map(|it| it.record(now)).collect()
    }

    fn insert(&mut self, now: Time, heard: Time, record: &Record) -> Option<Change> {
        if now.since(heard) >= MEMORY {
            return None;
        }
        let member = &record.member;
        if !self.peers.contains_key(&member.daemon) && self.peers.len() >= MAX_DAEMONS {
            return None;
        }
        let peer = Peer {
            member: member.clone(),
            beat: record.beat,
            load: record.load,
            heard,
            refused: false,
            sends: 0,
        };
        if let Some(old) = self.peers.insert(member.daemon.clone(), peer) {
            assert!(
                old.member.incarnation < member.incarnation,
                "a daemon returned to an earlier run"
            );
            self.tags.remove(&old.member.tag());
        }
        self.tags.insert(member.tag(), member.daemon.clone());
        Some(Change::Joined(member.clone()))
    }
}

impl Peer {
    fn hear(&mut self, beat: u64, load: Load, heard: Time) {
        if beat <= self.beat {
            return;
        }
        self.beat = beat;
        self.load = load;
        self.heard = self.heard.max(heard);
        self.refused = false;
    }

    fn is_live(&self, now: Time, silence: Duration) -> bool {
        !self.refused && now.since(self.heard) < silence
    }

    fn quiet_ms(&self, now: Time) -> u32 {
        let quiet = now.since(self.heard).as_millis();
        u32::try_from(quiet).unwrap_or(u32::MAX)
    }

    fn short(&self, now: Time) -> Beat {
        Beat {
            tag: self.member.tag(),
            beat: self.beat,
            load: self.load,
            quiet_ms: self.quiet_ms(now),
        }
    }

    fn record(&self, now: Time) -> Record {
        Record {
            member: self.member.clone(),
            beat: self.beat,
            load: self.load,
            quiet_ms: self.quiet_ms(now),
        }
    }
}
