//! How calls between daemons are laid out.
//!
//! Protocol 1 is `bincode` of the types as `serde` derives it. It can't be extended: a field that is added to
//! one of them carries `#[serde(skip)]`. Protocol 2 is laid out in [`record`]; protocol 3 adds rows
//! that are fetched, protocol 4 answers about origins that name the process. Two daemons agree on the newest
//! protocol that both speak when a connection opens, see [`transport`](crate::fleet::transport).

pub mod first;
pub mod record;
pub mod value;

use std::{
    io,
    pin::Pin,
    time::{Duration, Instant},
};

use bincode::Options;
use bytes::{Bytes, BytesMut};
use minicbor::{
    decode::{self, Decoder},
    encode::{self, Encoder},
};
use tarpc::{
    ClientMessage, Request, Response, ServerError, context as call,
    tokio_serde::{Deserializer, Serializer},
};

use self::value::{Fields, Value, Written};
use crate::{
    collections::Map,
    fleet::transport::{self, MAX_FRAME_BYTES},
    gateway::exchange::{ExchangeRequest, ExchangeResponse},
};

/// The newest protocol that this build speaks.
pub const PROTOCOL: u32 = 4;

/// The first protocol whose speakers fetch rows that are too large for a message.
pub const FETCH_PROTOCOL: u32 = 3;

/// The first protocol whose speakers claim builds before they begin streams there, and name their process when
/// they are asked for an origin.
pub const CLAIM_PROTOCOL: u32 = 4;

/// The protocol of daemons that don't name theirs.
pub const FIRST_PROTOCOL: u32 = 1;

/// The longest time that a call is given, whatever the caller says.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);

/// A frame with a call, and with the withdrawal of one.
const CALL: u32 = 0;
const CANCEL: u32 = 1;

/// Numbers the methods; 0 stands for an error.
macro_rules! methods {
    ($($number:literal = $method:ident($($argument:ident)?)),* $(,)?) => {
        fn method_of_request(request: &ExchangeRequest) -> u32 {
            match request { $(ExchangeRequest::$method { .. } => $number),* }
        }

        fn method_of_response(response: &ExchangeResponse) -> u32 {
            match response { $(ExchangeResponse::$method(_) => $number),* }
        }

        fn write_request(request: &ExchangeRequest, to: &mut Encoder<Vec<u8>>) -> Written {
            match request {
                $(ExchangeRequest::$method { $($argument)? } => {
                    to.u32($number)?;
                    $($argument.write(to))?
                })*
            }
        }

        fn read_request(fields: &mut Fields<'_, '_>) -> Result<ExchangeRequest, decode::Error> {
            match fields.required::<u32>()? {
                $($number => Ok(ExchangeRequest::$method { $($argument: fields.required()?)? }),)*
                number => Err(decode::Error::unknown_variant(number.into())),
            }
        }

        fn write_response(response: &ExchangeResponse, to: &mut Encoder<Vec<u8>>) -> Written {
            match response {
                $(ExchangeResponse::$method(value) => {
                    to.u32($number)?;
                    value.write(to)
                })*
            }
        }

        fn read_response(
            number: u32,
            fields: &mut Fields<'_, '_>,
        ) -> Result<ExchangeResponse, decode::Error> {
            match number {
                $($number => Ok(ExchangeResponse::$method(fields.required()?)),)*
                number => Err(decode::Error::unknown_variant(number.into())),
            }
        }
    };
}

methods! {
    1 = Exchange(message),
    2 = Permit(ask),
    3 = Quota(ask),
    4 = ReturnQuota(grant),
    5 = KeepOrigin(entry),
    6 = FindOrigin(attempt),
    7 = FetchRows(wanted),
    8 = LookUpOrigin(attempt),
}

/// Encodes and decodes the frames of one connection.
pub struct Codec {
    protocol: u32,
    /// The methods of calls without an answer yet, by the call's number.
    calls: Map<u64, u32>,
}

impl transport::Codec for Codec {
    const NEWEST: u32 = PROTOCOL;

    fn speaking(protocol: u32) -> Codec {
        Codec { protocol, calls: Map::default() }
    }
}

impl Serializer<ClientMessage<ExchangeRequest>> for Codec {
    type Error = io::Error;

    fn serialize(
        mut self: Pin<&mut Self>,
        frame: &ClientMessage<ExchangeRequest>,
    ) -> io::Result<Bytes> {
        match frame {
            ClientMessage::Request(request) => {
                self.calls.insert(request.id, method_of_request(&request.message));
            }
            ClientMessage::Cancel { request_id, .. } => drop(self.calls.remove(request_id)),
            _ => {}
        }
        match self.protocol {
            FIRST_PROTOCOL => options().serialize(frame).map(Bytes::from).map_err(malformed),
            _ => bytes(|to| write_client_frame(frame, to)),
        }
    }
}

impl Deserializer<ClientMessage<ExchangeRequest>> for Codec {
    type Error = io::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        frame: &BytesMut,
    ) -> io::Result<ClientMessage<ExchangeRequest>> {
        match self.protocol {
            FIRST_PROTOCOL => {
                options().deserialize(frame).map(first::Frame::into).map_err(malformed)
            }
            _ => read_client_frame(&mut Decoder::new(frame)).map_err(malformed),
        }
    }
}

impl Serializer<Response<ExchangeResponse>> for Codec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, frame: &Response<ExchangeResponse>) -> io::Result<Bytes> {
        match self.protocol {
            FIRST_PROTOCOL => options().serialize(frame).map(Bytes::from).map_err(malformed),
            _ => bytes(|to| write_server_frame(frame, to)),
        }
    }
}

impl Deserializer<Response<ExchangeResponse>> for Codec {
    type Error = io::Error;

    fn deserialize(
        mut self: Pin<&mut Self>,
        frame: &BytesMut,
    ) -> io::Result<Response<ExchangeResponse>> {
        let response: Response<ExchangeResponse> = match self.protocol {
            FIRST_PROTOCOL => options().deserialize(frame).map_err(malformed)?,
            _ => read_server_frame(&mut Decoder::new(frame)).map_err(malformed)?,
        };
        // The client that `tarpc` generates panics on the answer to another method.
        let called = self.calls.remove(&response.request_id);
        if let (Some(called), Ok(message)) = (called, &response.message)
            && called != method_of_response(message)
        {
            return Err(malformed("an answer to another method"));
        }
        Ok(response)
    }
}

/// A value in protocol 2.
pub fn to_bytes<T: Value>(value: &T) -> Vec<u8> {
    let mut to = Encoder::new(Vec::new());
    // Memory can always be written.
    let _ = value.write(&mut to);
    to.into_writer()
}

/// Reads a value in protocol 2.
///
/// # Errors
///
/// [`decode::Error`] if it is cut off or malformed.
pub fn from_bytes<T: Value>(bytes: &[u8]) -> Result<T, decode::Error> {
    T::read(&mut Decoder::new(bytes))
}

fn bytes(write: impl FnOnce(&mut Encoder<Vec<u8>>) -> Written) -> io::Result<Bytes> {
    let mut to = Encoder::new(Vec::new());
    write(&mut to).map_err(malformed)?;
    Ok(to.into_writer().into())
}

fn malformed(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_FRAME_BYTES as u64)
}

fn write_client_frame(
    frame: &ClientMessage<ExchangeRequest>,
    to: &mut Encoder<Vec<u8>>,
) -> Written {
    match frame {
        ClientMessage::Request(request) => {
            let time = request.context.deadline.saturating_duration_since(Instant::now());
            to.array(5)?.u32(CALL)?.u64(request.id)?;
            time.write(to)?;
            write_request(&request.message, to)
        }
        ClientMessage::Cancel { request_id, .. } => {
            to.array(2)?.u32(CANCEL)?.u64(*request_id)?.ok()
        }
        _ => Err(encode::Error::message("a frame of an unknown kind")),
    }
}

fn read_client_frame(
    from: &mut Decoder<'_>,
) -> Result<ClientMessage<ExchangeRequest>, decode::Error> {
    let mut fields = Fields::begin(from)?;
    let (kind, id) = (fields.required::<u32>()?, fields.required()?);
    let frame = match kind {
        CALL => {
            let time: Duration = fields.required()?;
            let mut context = call::current();
            context.deadline = Instant::now() + time.min(MAX_CALL_TIME);
            ClientMessage::Request(Request { context, id, message: read_request(&mut fields)? })
        }
        CANCEL => {
            ClientMessage::Cancel { trace_context: call::current().trace_context, request_id: id }
        }
        kind => return Err(decode::Error::unknown_variant(kind.into())),
    };
    fields.end()?;
    Ok(frame)
}

fn write_server_frame(frame: &Response<ExchangeResponse>, to: &mut Encoder<Vec<u8>>) -> Written {
    to.array(3)?.u64(frame.request_id)?;
    match &frame.message {
        Ok(response) => write_response(response, to),
        Err(error) => to.u32(0)?.str(&error.detail)?.ok(),
    }
}

fn read_server_frame(from: &mut Decoder<'_>) -> Result<Response<ExchangeResponse>, decode::Error> {
    let mut fields = Fields::begin(from)?;
    let request_id = fields.required()?;
    let message = match fields.required::<u32>()? {
        0 => Err(ServerError::new(io::ErrorKind::Other, fields.required()?)),
        number => Ok(read_response(number, &mut fields)?),
    };
    fields.end()?;
    Ok(Response { request_id, message })
}
