//! Checks that the events of a stream belong to it and follow each other.

use crate::{
    gateway::dialect::{Field, Format},
    kernel::id::Version,
};

/// How far a stream is, whichever upstreams bring it.
#[derive(Debug, Default)]
pub struct Sequence {
    last_id: Option<String>,
    /// The last identifier as a number, if it is one.
    number: Option<u64>,
    /// The newest weights that the stream stated.
    version: Option<Version>,
    /// Whether an upstream has yet to show that it goes on after the last event.
    is_resumed: bool,
    /// Whether there was an event with data after the one that has the last identifier.
    has_unidentified: bool,
    /// Whether an event is known to be missing.
    lacks_event: bool,
}

/// Why some of the bytes of a stream don't belong to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The length of the sound events before them.
    pub sound: usize,
    /// The reason.
    pub reason: &'static str,
}

/// The lines of one event.
#[derive(Default)]
struct Event<'a> {
    id: Option<&'a [u8]>,
    version: Option<Version>,
    has_data: bool,
}

impl Sequence {
    /// A stream that begins, or that its caller resumes after an event. Its head may have stated the
    /// weights.
    pub fn new(last_id: Option<&str>, version: Option<Version>) -> Sequence {
        Sequence {
            last_id: last_id.map(str::to_owned),
            number: last_id.and_then(|it| number(it.as_bytes())),
            version,
            is_resumed: last_id.is_some(),
            ..Sequence::default()
        }
    }

    /// The last identifier of an event, if any.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether another upstream can be told after which event to go on.
    pub fn is_resumable(&self) -> bool {
        !self.has_unidentified
    }

    /// Whether the stream can't have ended, since an event is known to be missing.
    pub fn lacks_event(&self) -> bool {
        self.lacks_event
    }

    /// The stream broke off before an event.
    pub fn expect_event(&mut self) {
        self.lacks_event = true;
    }

    /// Another upstream goes on.
    pub fn resume(&mut self) {
        self.is_resumed = self.last_id.is_some();
    }

    /// Takes complete events up to the first one that doesn't belong to the stream.
    ///
    /// # Errors
    ///
    /// [`Fault`] if there is one. An event is then known to be missing.
    pub fn take(&mut self, events: &[u8], format: &dyn Format) -> Result<(), Fault> {
        let (mut sound, mut position) = (0, 0);
        let mut event = Event::default();
        while let Some((line, length)) = next_line(&events[position..]) {
            position += length;
            let is_end = line.is_empty();
            let taken = match is_end {
                true => self.append(&std::mem::take(&mut event), format),
                false => event.read(line, format),
            };
            if let Err(reason) = taken {
                self.lacks_event = true;
                return Err(Fault { sound, reason });
            }
            if is_end {
                sound = position;
            }
        }
        Ok(())
    }

    /// Takes the next event.
    fn append(&mut self, event: &Event<'_>, format: &dyn Format) -> Result<(), &'static str> {
        if event.version.is_some() && event.version < self.version {
            return Err("an event is of older weights than the stream");
        }
        let is_unidentified = event.id.is_none() && event.has_data;
        if is_unidentified && (self.is_resumed || format.identifies_events()) {
            return Err("an event has no identifier");
        }
        if let Some(id) = event.id {
            self.follow(id)?;
        }
        self.has_unidentified = is_unidentified || self.has_unidentified && event.id.is_none();
        self.lacks_event &= event.id.is_none() && !event.has_data;
        self.version = event.version.or(self.version);
        Ok(())
    }

    /// Takes the identifier of the next event. Numbers increase; of others only a repeated one shows that an
    /// upstream does not go on.
    fn follow(&mut self, id: &[u8]) -> Result<(), &'static str> {
        let id = std::str::from_utf8(id).map_err(|_| "the identifier of an event is no text")?;
        let number = number(id.as_bytes());
        if self.number.is_some() && number <= self.number {
            return Err("the identifier of an event does not increase");
        }
        if self.is_resumed && self.last_id.as_deref() == Some(id) {
            return Err("an event is repeated");
        }
        let last_id = self.last_id.get_or_insert_default();
        last_id.clear();
        last_id.push_str(id);
        self.number = number;
        self.is_resumed = false;
        Ok(())
    }
}

impl<'a> Event<'a> {
    fn read(&mut self, line: &'a [u8], format: &dyn Format) -> Result<(), &'static str> {
        let (name, value) = split(line);
        match name {
            // A comment has no name.
            b"" | b"event" | b"retry" => {}
            b"data" => self.has_data = true,
            b"id" => self.id = Some(value.trim_ascii()),
            _ => match format.parse_field(name, value) {
                Field::Foreign => return Err("a line belongs to no event"),
                Field::Weights(version) => self.version = Some(version),
            },
        }
        Ok(())
    }
}

/// Whether an incomplete event begins with these bytes, rather than a comment or something else.
pub fn begins_event(bytes: &[u8], format: &dyn Format) -> bool {
    let line = next_line(bytes).map_or(bytes, |(line, _)| line);
    let is_field = line.contains(&b':') && !line.starts_with(b":");
    is_field && Event::default().read(line, format).is_ok()
}

/// The first line, without its end, and its length with it; `None` if it has no end. Lines end with LF,
/// CRLF or CR.
fn next_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|it| matches!(it, b'\n' | b'\r'))?;
    let is_crlf = bytes[end..].starts_with(b"\r\n");
    Some((&bytes[..end], end + 1 + usize::from(is_crlf)))
}

/// The name and value of a field.
fn split(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|it| *it == b':') else {
        return (line, b"");
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    (name, value.strip_prefix(b" ").unwrap_or(value))
}

fn number(id: &[u8]) -> Option<u64> {
    let is_decimal = id.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(id).ok().filter(|_| is_decimal)?.parse().ok()
}
