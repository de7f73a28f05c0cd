//! Fetches rows that are too large for the messages of daemons.
//!
//! A daemon that is told of such rows reads them from the store. If the store doesn't answer it, it
//! fetches them from the daemon that told of them: part by part over a connection of their own, so that
//! no more than one part is on its way, and none is sent twice.

use std::{
    hash::BuildHasher,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use foldhash::fast::FixedState;
use metrics::counter;
use serde::{Deserialize, Serialize};
use tarpc::context as call;
use tokio::time;
use tracing::info;

use crate::{
    fleet::transport::MAX_FRAME_BYTES,
    gateway::{
        context::Context,
        exchange::{
            self,
            wire::{self, value::Bytes},
        },
        follow,
        message::Notice,
        store::{Position, Row, Topic},
    },
    kernel::clock::Time,
};

/// Bytes of a part.
const PART_BYTES: usize = 32 * 1024;

/// The longest wait for a part.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest that rows may take altogether: as long as a revoked key may be accepted on the platform.
const FETCH_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Asks for a part of the rows that a daemon lacks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wanted {
    /// Index in [`Topic::FOLLOWED`].
    pub topic: usize,
    /// How far the daemon's copy of the topic reaches; `None` without one.
    pub after: Option<Position>,
    /// Bytes that it has received already.
    pub offset: u64,
}

/// A part of encoded rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// The transaction that the rows reach up to.
    pub position: Position,
    /// Whether these are all rows of the topic.
    pub full: bool,
    /// Identifies the encoded rows. Parts with another digest belong to other rows.
    pub digest: u64,
    /// Bytes of all parts.
    pub total: u64,
    /// The part at the wanted offset.
    pub bytes: Bytes,
}

/// Rows of each topic that other daemons have and this one has to fetch.
#[derive(Debug, Default)]
pub struct Notices(Mutex<[Option<Notice>; Topic::FOLLOWED.len()]>);

impl Notices {
    /// Keeps a notice, unless one of later rows is known.
    pub fn record(&self, topic: Topic, notice: &Notice) {
        let mut notices = self.lock();
        let known = &mut notices[topic as usize];
        if known.as_ref().is_none_or(|it| it.until <= notice.until) {
            *known = Some(notice.clone());
        }
    }

    /// The notice of rows that a copy up to `position` lacks.
    pub fn get(&self, topic: Topic, position: Option<Position>) -> Option<Notice> {
        let notices = self.lock();
        notices[topic as usize].clone().filter(|it| Some(it.until) > position)
    }

    fn lock(&self) -> MutexGuard<'_, [Option<Notice>; Topic::FOLLOWED.len()]> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// The part that another daemon wants.
pub fn part(context: &Context, wanted: &Wanted) -> Option<Part> {
    let topic = *Topic::FOLLOWED.get(wanted.topic)?;
    let position = context.mirror.head(topic)?.position;
    let mut delta = context.mirror.after(topic, wanted.after)?;
    delta.rows.sort_unstable_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
    let encoded = wire::to_bytes(&delta.rows);
    let start = usize::try_from(wanted.offset).unwrap_or(usize::MAX).min(encoded.len());
    let end = encoded.len().min(start + PART_BYTES);
    Some(Part {
        position,
        full: delta.full,
        digest: FixedState::default().hash_one(&encoded),
        total: encoded.len() as u64,
        bytes: Bytes(encoded[start..end].to_vec()),
    })
}

/// Parts of the same rows, put together.
#[derive(Debug, Default)]
pub struct Assembly {
    digest: Option<u64>,
    received: Vec<u8>,
}

impl Assembly {
    /// Bytes that were received.
    pub fn offset(&self) -> u64 {
        self.received.len() as u64
    }

    /// Appends a part; returns the rows with the last one. A part of other rows starts them anew.
    ///
    /// # Errors
    ///
    /// [`minicbor::decode::Error`] if the parts are no rows.
    pub fn push(&mut self, part: &Part) -> Result<Option<Vec<Row>>, minicbor::decode::Error> {
        if self.digest.is_some_and(|it| it != part.digest) {
            *self = Assembly::default();
            return Ok(None);
        }
        self.digest = Some(part.digest);
        self.received.extend_from_slice(&part.bytes.0);
        let is_whole = self.offset() >= part.total || part.bytes.0.is_empty();
        if is_whole { wire::from_bytes(&self.received).map(Some) } else { Ok(None) }
    }
}

/// Fetches the rows of a topic that another daemon told of; returns whether they were applied.
pub async fn fetch(context: &Context, topic: Topic) -> bool {
    let after = context.mirror.head(topic).map(|it| it.position);
    let Some(Notice { holder, .. }) = context.notices.get(topic, after) else {
        return false;
    };
    let fetched = time::timeout(FETCH_TIMEOUT, fetch_from(context, &holder, topic, after)).await;
    let is_fetched = matches!(fetched, Ok(Some(())));
    let outcome = if is_fetched { "fetched" } else { "failed" };
    counter!("tealturn_exchange_fetches_total", "outcome" => outcome).increment(1);
    info!(?topic, holder, is_fetched, "rows asked of another daemon");
    is_fetched
}

async fn fetch_from(
    context: &Context,
    holder: &str,
    topic: Topic,
    after: Option<Position>,
) -> Option<()> {
    let address = context.members.peer_address(holder)?;
    let client = exchange::connect(address).await.ok()?;
    let mut assembly = Assembly::default();
    loop {
        let wanted = Wanted { topic: topic as usize, after, offset: assembly.offset() };
        let asked = client.fetch_rows(call::current(), wanted);
        let part = time::timeout(PART_TIMEOUT, asked).await.ok()?.ok()??;
        if part.total > MAX_FRAME_BYTES as u64 {
            return None;
        }
        let Some(rows) = assembly.push(&part).ok()? else { continue };
        let continued = after.map(|it| it.version).filter(|_| !part.full);
        follow::log_rows(topic, &rows, holder);
        // The next message of a peer confirms them.
        follow::apply(context, topic, &rows, continued, part.position, Time::default());
        return Some(());
    }
}
