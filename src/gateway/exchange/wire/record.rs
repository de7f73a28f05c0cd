//! The layout of protocol 2, record by record.
//!
//! The position of a field is its number. New fields go to the end with a value that stands for a missing
//! one; one that is no longer sent is written as null. Numbers of variants are never given out again.

use minicbor::{
    decode::{Decoder, Error},
    encode::Encoder,
};

use crate::{
    fleet::fact,
    gateway::{
        cache, crash,
        exchange::{
            fetch,
            origin::Lookup,
            wire::value::{Bytes, Fields, Value, Written},
        },
        gauge::Outcomes,
        message::{
            Head, Limit, Link, Load, Message, News, Notice, Release, Rollout, Rows, Sighting,
            Target, Targets, Update, Usage,
        },
        origin, permit, quota, rollout,
        store::{Position, Row},
    },
};

macro_rules! field {
    ($fields:ident) => {
        $fields.required()?
    };
    ($fields:ident, $default:expr) => {
        $fields.optional()?.unwrap_or($default)
    };
}

/// Fields in their order, with the values that stand for missing ones. Without such a value, a record that
/// lacks the field is refused.
macro_rules! record {
    ($($name:path { $($field:ident $(= $default:expr)?),* $(,)? })*) => { $(
        impl Value for $name {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                to.array([$(stringify!($field)),*].len() as u64)?;
                $(self.$field.write(to)?;)*
                Ok(())
            }

            fn read(from: &mut Decoder<'_>) -> Result<Self, Error> {
                let mut fields = Fields::begin(from)?;
                let value = Self { $($field: field!(fields $(, $default)?)),* };
                fields.end()?;
                Ok(value)
            }
        }
    )* };
}

/// Variants without data, by number.
macro_rules! choice {
    ($($name:path { $($variant:ident = $number:literal),* $(,)? })*) => { $(
        impl Value for $name {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                let number: u32 = match self { $(Self::$variant => $number),* };
                number.write(to)
            }

            fn read(from: &mut Decoder<'_>) -> Result<Self, Error> {
                match u32::read(from)? {
                    $($number => Ok(Self::$variant),)*
                    number => Err(Error::unknown_variant(number.into())),
                }
            }
        }
    )* };
}

/// Variants with one value each, as a record of the number and the value.
macro_rules! variant {
    ($($name:path { $($variant:ident = $number:literal),* $(,)? })*) => { $(
        impl Value for $name {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                match self {
                    $(Self::$variant(value) => {
                        to.array(2)?.u32($number)?;
                        value.write(to)
                    })*
                }
            }

            fn read(from: &mut Decoder<'_>) -> Result<Self, Error> {
                let mut fields = Fields::begin(from)?;
                let value = match fields.required::<u32>()? {
                    $($number => Self::$variant(fields.required()?),)*
                    number => return Err(Error::unknown_variant(number.into())),
                };
                fields.end()?;
                Ok(value)
            }
        }
    )* };
}

record! {
    Message {
        from,
        incarnation,
        link,
        stamp,
        to,
        echo,
        // Nothing counts as acknowledged, so that it is sent again.
        acknowledged_update = 0,
        last_update = 0,
        updates = Vec::new(),
        // The retry budget and the placement rely on knowing all use.
        usages,
        loads,
        live_digest = 0,
        live = None,
        // Nothing is confirmed.
        heads = [const { None }; 3],
        rows = Vec::new(),
        document = None,
        targets = Vec::new(),
        rollouts_digest = 0,
        rollouts = Vec::new(),
        sightings = Vec::new(),
        // What is not told about is left as it is: a limit, a build, the balance of a quota.
        limits = Vec::new(),
        builds = Vec::new(),
        balances = Vec::new(),
        withheld = Vec::new(),
    }
    Load { engine, calls, tokens, memory, outcomes }
    Outcomes { calls, failures }
    Head { position, confirmed_at }
    Position { era, version }
    Rows { topic, after, rows }
    Targets { model, versions }
    // An assumed age gives way to any known one.
    Target { version, age, is_assumed = true }
    Rollout { model, fence, statuses }
    rollout::Statuses { revision, marks }
    rollout::Status { engine, incarnation, version, stage }
    Sighting { engine, incarnation, dead_at, alive_at = None }
    Release { service, build, age }
    Limit { upstream, incarnation, rate, heard_at }
    Update { hops, news }
    Usage { service, calls, retries }
    // A part that others may not use takes up capacity only.
    cache::Entry { cache, incarnation, part, tokens, shared = false }
    origin::Entry { attempt, service, build }
    crash::Fact { part, depth, clearances, seen = false, crashes }
    crash::Crash { id, age }
    quota::Balance { workspace, granted, balance }
    permit::Ask { upstream, incarnation, rate, purpose }
    // A request that is not known to be a retry may be refused.
    quota::Ask { workspace, amount, quota, is_retry = false }
    quota::Quota { rate, burst, unit }
    quota::Grant { workspace, amount, incarnation }
    quota::Denial { retry_after, balance }
    Notice { topic, until, holder }
    fetch::Wanted { topic, after, offset }
    fetch::Part { position, full, digest, total, bytes }
    Lookup { incarnation, build = None }
}

choice! {
    Link { Peer = 0, Spoke = 1, Hub = 2 }
    permit::Purpose { Call = 0, Report = 1, Order = 2 }
    rollout::Stage { Loading = 0, Loaded = 1 }
}

variant! {
    News { Cached = 0, Suspect = 1, Began = 2, Crashed = 3 }
    quota::Verdict { Granted = 0, Denied = 1 }
}

impl Value for permit::Verdict {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        match self {
            permit::Verdict::Granted => to.array(1)?.u32(0)?.ok(),
            permit::Verdict::Denied(pause) => {
                to.array(2)?.u32(1)?;
                pause.write(to)
            }
        }
    }

    fn read(from: &mut Decoder<'_>) -> Result<permit::Verdict, Error> {
        let mut fields = Fields::begin(from)?;
        let verdict = match fields.required::<u32>()? {
            0 => permit::Verdict::Granted,
            1 => permit::Verdict::Denied(fields.required()?),
            number => return Err(Error::unknown_variant(number.into())),
        };
        fields.end()?;
        Ok(verdict)
    }
}

impl Value for quota::Unit {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        match self {
            quota::Unit::Requests => to.array(1)?.u32(0)?.ok(),
            quota::Unit::Tokens { unstated } => to.array(2)?.u32(1)?.u64(*unstated)?.ok(),
        }
    }

    fn read(from: &mut Decoder<'_>) -> Result<quota::Unit, Error> {
        let mut fields = Fields::begin(from)?;
        let unit = match fields.required::<u32>()? {
            0 => quota::Unit::Requests,
            1 => quota::Unit::Tokens { unstated: fields.required()? },
            number => return Err(Error::unknown_variant(number.into())),
        };
        fields.end()?;
        Ok(unit)
    }
}

/// Suspects are the only facts that gateways tell each other. Others are written as a variant that no reader
/// knows.
impl Value for fact::Fact {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        let (fact::Key::Suspect(request), fact::Value::Suspect { crashes, barred, lifts }) =
            (&self.key, self.value)
        else {
            return to.array(0)?.ok();
        };
        to.array(4)?.u64(*request)?.u8(crashes)?.bool(barred)?.u32(lifts)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<fact::Fact, Error> {
        let mut fields = Fields::begin(from)?;
        let request = fields.optional()?.ok_or_else(|| Error::unknown_variant(-1))?;
        let (crashes, barred, lifts) = (fields.required()?, fields.required()?, fields.required()?);
        fields.end()?;
        let value = fact::Value::Suspect { crashes, barred, lifts };
        Ok(fact::Fact { key: fact::Key::Suspect(request), value })
    }
}

impl Value for Row {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.array(4)?.str(&self.key)?;
        match &self.value {
            Some(value) => to.bytes(value)?,
            None => to.null()?,
        };
        to.u64(self.version)?.bool(self.removed)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<Row, Error> {
        let mut fields = Fields::begin(from)?;
        let key = fields.required()?;
        let value = fields.required::<Option<Bytes>>()?.map(|it| it.0);
        let row = Row { key, value, version: fields.required()?, removed: fields.required()? };
        fields.end()?;
        Ok(row)
    }
}
