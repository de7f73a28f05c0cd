//! Values in the layout of protocol 2: CBOR arrays whose positions number the fields.

use std::{array, convert::Infallible, time::Duration};

use minicbor::{
    data::Type,
    decode::{Decoder, Error},
    encode::{self, Encoder},
};
use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        message::{Age, Offset},
        store::Era,
    },
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Model, Upstream, Version},
    },
};

/// The result of writing to memory.
pub type Written = Result<(), encode::Error<Infallible>>;

/// A value that daemons send each other.
pub trait Value: Sized {
    /// Whether null is one of the values, rather than a field that is missing.
    const IS_NULLABLE: bool = false;

    /// Appends the value.
    ///
    /// # Errors
    ///
    /// None in practice: memory can always be written.
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written;

    /// Reads the value.
    ///
    /// # Errors
    ///
    /// [`Error`] if the input is cut off or malformed. Only that of a variant that this build doesn't know
    /// [is recoverable](Error::is_unknown_variant): a list leaves out the item.
    fn read(from: &mut Decoder<'_>) -> Result<Self, Error>;
}

/// Reads the fields of a record, which may have fewer of them than this build knows, or more.
pub struct Fields<'a, 'b> {
    from: &'a mut Decoder<'b>,
    left: u64,
    number: i64,
}

impl<'a, 'b> Fields<'a, 'b> {
    /// Enters a record.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is none.
    pub fn begin(from: &'a mut Decoder<'b>) -> Result<Fields<'a, 'b>, Error> {
        let left = length(from)?;
        Ok(Fields { from, left, number: 0 })
    }

    /// The next field; `None` if it is missing.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't be read.
    pub fn optional<T: Value>(&mut self) -> Result<Option<T>, Error> {
        self.number += 1;
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        if !T::IS_NULLABLE && self.from.datatype()? == Type::Null {
            self.from.null()?;
            return Ok(None);
        }
        T::read(self.from).map(Some)
    }

    /// The next field, without which the record is malformed.
    ///
    /// # Errors
    ///
    /// [`Error`] if it is missing or can't be read.
    pub fn required<T: Value>(&mut self) -> Result<T, Error> {
        let missing = Error::missing_value(self.number);
        self.optional()?.ok_or(missing)
    }

    /// Skips the fields that this build doesn't know.
    ///
    /// # Errors
    ///
    /// [`Error`] if they are cut off.
    pub fn end(self) -> Result<(), Error> {
        for _ in 0..self.left {
            self.from.skip()?;
        }
        Ok(())
    }
}

fn length(from: &mut Decoder<'_>) -> Result<u64, Error> {
    from.array()?.ok_or_else(|| Error::message("an array of indefinite length"))
}

macro_rules! primitive {
    ($($kind:ident)*) => { $(
        impl Value for $kind {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                to.$kind(*self)?.ok()
            }

            fn read(from: &mut Decoder<'_>) -> Result<$kind, Error> {
                from.$kind()
            }
        }
    )* };
}

primitive! { bool f32 f64 i64 u8 u32 u64 }

macro_rules! number {
    ($($name:ident($inner:ty))*) => { $(
        impl Value for $name {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                self.0.write(to)
            }

            fn read(from: &mut Decoder<'_>) -> Result<$name, Error> {
                <$inner>::read(from).map($name)
            }
        }
    )* };
}

number! { Age(u64) Era(u64) Incarnation(u64) Offset(i64) Time(u64) Version(u64) }

macro_rules! name {
    ($($name:ident)*) => { $(
        impl Value for $name {
            fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
                to.str(self.as_str())?.ok()
            }

            fn read(from: &mut Decoder<'_>) -> Result<$name, Error> {
                from.str().map($name::from)
            }
        }
    )* };
}

name! { Build Model String Upstream }

impl Value for usize {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.u64(*self as u64)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<usize, Error> {
        from.u64().map(|it| usize::try_from(it).unwrap_or(usize::MAX))
    }
}

impl Value for () {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.array(0)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<(), Error> {
        Fields::begin(from)?.end()
    }
}

impl Value for Duration {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        let micros = u64::try_from(self.as_micros()).unwrap_or(u64::MAX);
        to.u64(micros)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<Duration, Error> {
        from.u64().map(Duration::from_micros)
    }
}

impl<T: Value> Value for Option<T> {
    const IS_NULLABLE: bool = true;

    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        match self {
            Some(value) => value.write(to),
            None => to.null()?.ok(),
        }
    }

    fn read(from: &mut Decoder<'_>) -> Result<Option<T>, Error> {
        match from.datatype()? {
            Type::Null => from.null().map(|()| None),
            _ => T::read(from).map(Some),
        }
    }
}

impl<T: Value> Value for Vec<T> {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.array(self.len() as u64)?;
        for item in self {
            item.write(to)?;
        }
        Ok(())
    }

    fn read(from: &mut Decoder<'_>) -> Result<Vec<T>, Error> {
        // The length is not trusted: memory is taken for items that have been read.
        let mut items = Vec::new();
        for _ in 0..length(from)? {
            let start = from.position();
            match T::read(from) {
                Ok(item) => items.push(item),
                Err(error) if error.is_unknown_variant() => {
                    from.set_position(start);
                    from.skip()?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(items)
    }
}

/// A list with a place for each item, of which either side may have more.
impl<T: Value, const N: usize> Value for [Option<T>; N] {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.array(N as u64)?;
        for item in self {
            item.write(to)?;
        }
        Ok(())
    }

    fn read(from: &mut Decoder<'_>) -> Result<[Option<T>; N], Error> {
        let mut fields = Fields::begin(from)?;
        let mut items = array::from_fn(|_| None);
        for item in &mut items {
            *item = fields.optional()?;
        }
        fields.end()?;
        Ok(items)
    }
}

impl<A: Value, B: Value> Value for (A, B) {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.array(2)?;
        self.0.write(to)?;
        self.1.write(to)
    }

    fn read(from: &mut Decoder<'_>) -> Result<(A, B), Error> {
        let mut fields = Fields::begin(from)?;
        let pair = (fields.required()?, fields.required()?);
        fields.end()?;
        Ok(pair)
    }
}

/// Bytes in one piece, other than a list of numbers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bytes(pub Vec<u8>);

impl Value for Bytes {
    fn write(&self, to: &mut Encoder<Vec<u8>>) -> Written {
        to.bytes(&self.0)?.ok()
    }

    fn read(from: &mut Decoder<'_>) -> Result<Bytes, Error> {
        from.bytes().map(|it| Bytes(it.to_vec()))
    }
}
