//! What daemons of other builds write, what is cut off, and what is not meant well.

use std::{env, fmt::Debug, fs, io, path::PathBuf, pin::Pin, time::Instant};

use bytes::{Bytes, BytesMut};
use minicbor::Encoder;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tarpc::{
    ClientMessage, Request, Response, context as call,
    tokio_serde::{Deserializer, Serializer},
};
use tealturn::{
    fleet::transport::Codec as _,
    gateway::{
        exchange::{
            ExchangeRequest, ExchangeResponse,
            wire::{self, Codec, FIRST_PROTOCOL, PROTOCOL},
        },
        message::{Message, Update},
        rollout::Statuses,
    },
};

use crate::wire_samples::{self, SAMPLES};

/// The number of a recorded call.
const ID: u64 = 7;

/// Set to write the frames that are recorded for a protocol, once it is released.
const RECORD_VARIABLE: &str = "TEALTURN_RECORD_PROTOCOL";

type ClientFrame = ClientMessage<ExchangeRequest>;
type ServerFrame = Response<ExchangeResponse>;

fn recorded(protocol: u32, name: &str, kind: &str) -> PathBuf {
    let file = format!("tests/recorded/protocol-{protocol}/{name}.{kind}");
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file)
}

/// A call whose time is over, so that the frame tells the same time whenever it is written.
fn client_frame(message: ExchangeRequest) -> ClientFrame {
    let mut context = call::current();
    context.deadline = Instant::now();
    ClientMessage::Request(Request { context, id: ID, message })
}

fn server_frame(message: ExchangeResponse) -> ServerFrame {
    Response { request_id: ID, message: Ok(message) }
}

fn write<T>(protocol: u32, frame: &T) -> Bytes
where
    Codec: Serializer<T, Error = io::Error>,
{
    let mut codec = Codec::speaking(protocol);
    Pin::new(&mut codec).serialize(frame).expect("a frame that can be written")
}

fn read<T>(protocol: u32, frame: &[u8]) -> io::Result<T>
where
    Codec: Deserializer<T, Error = io::Error>,
{
    let mut codec = Codec::speaking(protocol);
    Pin::new(&mut codec).deserialize(&BytesMut::from(frame))
}

fn text(frame: &ClientFrame) -> String {
    match frame {
        ClientMessage::Request(request) => format!("{} {:?}", request.id, request.message),
        other => format!("{other:?}"),
    }
}

/// Guards against a change of a released layout: daemons of the release could not read this build's
/// messages, or would read one field as another. A change raises [`PROTOCOL`] and records its frames; those of
/// protocols between the first and the newest, which differ by missing fields, are only read.
#[test]
fn frames_of_each_released_protocol_are_read_and_written_as_recorded() {
    for protocol in FIRST_PROTOCOL..=PROTOCOL {
        let is_written = protocol == FIRST_PROTOCOL || protocol == PROTOCOL;
        for sample in SAMPLES.iter().filter(|it| it.since <= protocol) {
            let name = format!("protocol {protocol}, {}", sample.name);
            let (call, answer) =
                (client_frame((sample.request)()), server_frame((sample.response)()));
            let frames = [write(protocol, &call), write(protocol, &answer)];
            let [recorded_call, recorded_answer] =
                ["call", "answer"].map(|it| recorded(protocol, sample.name, it));
            if env::var(RECORD_VARIABLE).is_ok_and(|it| it == protocol.to_string()) {
                fs::create_dir_all(recorded_call.parent().expect("a folder")).expect("a folder");
                fs::write(&recorded_call, &frames[0]).expect("a written call");
                fs::write(&recorded_answer, &frames[1]).expect("a written answer");
            }
            let [recorded_call, recorded_answer] = [recorded_call, recorded_answer]
                .map(|path| fs::read(&path).unwrap_or_else(|error| panic!("{path:?}: {error}")));
            let read_call: ClientFrame = read(protocol, &recorded_call).expect("a call");
            let read_answer: ServerFrame = read(protocol, &recorded_answer).expect("an answer");
            if !is_written {
                continue;
            }
            assert_eq!(frames[0], recorded_call, "{name}: the call as it was released");
            assert_eq!(frames[1], recorded_answer, "{name}: the answer as it was released");
            assert_eq!(text(&read_call), text(&call), "{name}");
            assert_eq!(format!("{read_answer:?}"), format!("{answer:?}"), "{name}");
        }
    }
}

/// The fields of a message, one by one.
fn fields(message: &Message) -> Vec<Vec<u8>> {
    let bytes = wire::to_bytes(message);
    let mut from = minicbor::Decoder::new(&bytes);
    let count = from.array().expect("an array").expect("a length");
    let mut fields = Vec::new();
    for _ in 0..count {
        let start = from.position();
        from.skip().expect("a field");
        fields.push(bytes[start..from.position()].to_vec());
    }
    fields
}

fn join(fields: &[Vec<u8>]) -> Vec<u8> {
    let mut to = Encoder::new(Vec::new());
    to.array(fields.len() as u64).expect("written");
    let mut bytes = to.into_writer();
    fields.iter().for_each(|it| bytes.extend(it));
    bytes
}

fn cbor(write: impl FnOnce(&mut Encoder<Vec<u8>>)) -> Vec<u8> {
    let mut to = Encoder::new(Vec::new());
    write(&mut to);
    to.into_writer()
}

/// Guards against builds that can't talk because one of them knows more than the other.
#[test]
fn what_another_build_adds_or_leaves_out_does_not_spoil_the_rest() {
    struct Case {
        name: &'static str,
        change: fn(&mut Vec<Vec<u8>>),
        /// What is read instead of the message with all fields; `None` if it is refused.
        expected: Option<fn(&mut Message)>,
    }
    /// Places of fields.
    const LINK: usize = 2;
    const UPDATES: usize = 8;
    const LOADS: usize = 10;
    const LIVE: usize = 12;
    const HEADS: usize = 13;
    const ROLLOUTS: usize = 18;
    for case in [
        Case { name: "as it is", change: |_| {}, expected: Some(|_| {}) },
        Case {
            name: "further fields",
            change: |it| {
                it.push(cbor(|to| drop(to.map(1).and_then(|to| to.str("a")?.array(0)))));
                it.push(cbor(|to| drop(to.bytes(&[1; 300]))));
            },
            expected: Some(|_| {}),
        },
        Case {
            name: "no balances and builds",
            change: |it| it.truncate(21),
            expected: Some(|it| {
                it.builds.clear();
                it.balances.clear();
            }),
        },
        Case {
            name: "a list that is no longer sent",
            change: |it| it[LIVE] = cbor(|to| drop(to.null())),
            expected: Some(|it| it.live = None),
        },
        Case {
            name: "loads that are no longer sent",
            change: |it| it[LOADS] = cbor(|to| drop(to.null())),
            expected: None,
        },
        Case {
            name: "unknown news between others",
            change: |it| {
                let unknown = cbor(|to| {
                    drop(to.array(2).and_then(|to| to.u8(0)?.array(2)?.u32(4_000)?.str("what")));
                });
                let (first, rest) = (it[UPDATES][0] + 1, it[UPDATES][1..].to_vec());
                it[UPDATES] = [vec![first], unknown, rest].concat();
            },
            expected: Some(|_| {}),
        },
        Case {
            name: "an unknown stage of a load",
            change: |it| {
                // The stage of the second engine is the last byte.
                *it[ROLLOUTS].last_mut().expect("bytes") = 9;
            },
            expected: Some(|it| drop(it.rollouts[0].statuses.marks.pop())),
        },
        Case {
            name: "a further topic",
            change: |it| {
                let rest = it[HEADS][1..].to_vec();
                it[HEADS] = [vec![0x84], rest, vec![0xf6]].concat();
            },
            expected: Some(|_| {}),
        },
        Case {
            name: "a topic less",
            change: |it| it[HEADS] = cbor(|to| drop(to.array(1).and_then(|to| to.null()))),
            expected: Some(|it| it.heads = [None; 3]),
        },
        Case {
            name: "an unknown link",
            change: |it| it[LINK] = cbor(|to| drop(to.u8(3))),
            expected: None,
        },
        Case { name: "no name", change: |it| it.clear(), expected: None },
    ] {
        let mut fields = fields(&wire_samples::full());
        (case.change)(&mut fields);
        let read = wire::from_bytes::<Message>(&join(&fields));
        let expected = case.expected.map(|change| {
            let mut message = wire_samples::full();
            change(&mut message);
            message
        });
        assert_eq!(read.ok(), expected, "{}", case.name);
    }
}

/// Guards against an answer that ends the task of the daemon that asked, which then never calls that peer again.
#[test]
fn an_answer_to_another_method_is_an_error() {
    for protocol in FIRST_PROTOCOL..=PROTOCOL {
        for asked in SAMPLES {
            for answered in SAMPLES {
                let mut codec = Codec::speaking(protocol);
                let call = client_frame((asked.request)());
                Pin::new(&mut codec).serialize(&call).expect("a written call");
                let answer = write(protocol, &server_frame((answered.response)()));
                let read: io::Result<ServerFrame> =
                    Pin::new(&mut codec).deserialize(&BytesMut::from(&*answer));
                let method = |it: &str| it.split_once('(').map(|(name, _)| name.to_owned());
                let (own, other) = (
                    method(&format!("{:?}", (asked.response)())),
                    method(&format!("{:?}", (answered.response)())),
                );
                let (asked, answered) = (asked.name, answered.name);
                assert_eq!(read.is_ok(), own == other, "{protocol}: {asked}, {answered}");
            }
        }
    }
}

/// Seeds with which a damaged frame once broke this test.
const SEEDS: &[u64] = &[];

/// Frames that are damaged in this way, for each sample.
const DAMAGED: u64 = 400;

fn damage(frame: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = frame.to_vec();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..bytes.len().max(1));
        match rng.random_range(0..4) {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes[at] ^= 1 << rng.random_range(0..8),
            // Lengths of arrays, texts and integers that are far too long.
            2 if at < bytes.len() => {
                let heads = [0x9b, 0x5b, 0x7b, 0xbb, 0x9f, 0xfd, 0xfe, 0xff, 0xfc];
                bytes[at] = heads[rng.random_range(0..heads.len())];
            }
            _ => {
                let noise: Vec<u8> = (0..rng.random_range(1..9)).map(|_| rng.random()).collect();
                bytes.splice(at.min(bytes.len())..at.min(bytes.len()), noise);
            }
        }
    }
    bytes
}

/// Reads a frame both as a call and as an answer.
fn read_any(protocol: u32, frame: &[u8]) -> [bool; 2] {
    let call: io::Result<ClientFrame> = read(protocol, frame);
    let answer: io::Result<ServerFrame> = read(protocol, frame);
    [call.is_ok(), answer.is_ok()]
}

/// Guards against a malformed frame that takes a daemon down, or its memory.
#[test]
fn damaged_frames_are_errors_or_other_frames_but_never_panics() {
    for protocol in FIRST_PROTOCOL..=PROTOCOL {
        for sample in SAMPLES {
            for frame in [
                write(protocol, &client_frame((sample.request)())),
                write(protocol, &server_frame((sample.response)())),
            ] {
                for end in 0..frame.len() {
                    read_any(protocol, &frame[..end]);
                }
                for seed in SEEDS.iter().copied().chain(0..DAMAGED) {
                    let mut rng = StdRng::seed_from_u64(seed);
                    read_any(protocol, &damage(&frame, &mut rng));
                }
            }
        }
    }
}

/// Guards against lengths that are believed: memory is taken only for items that are there.
#[test]
fn long_lists_that_do_not_come_are_errors() {
    fn refused<T: Debug + wire::value::Value>(head: &[u8]) {
        assert!(wire::from_bytes::<T>(head).is_err(), "{head:x?}");
    }
    let endless = [0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    refused::<Vec<Update>>(&endless);
    refused::<Message>(&endless);
    refused::<Statuses>(&endless);
    refused::<Vec<Update>>(&[0x9f]);
    let mut text = endless;
    text[0] = 0x7b;
    refused::<String>(&text);
    // Arrays in arrays, of which a reader that calls itself would run out of stack.
    let nested = vec![0x81; 8 * 1024 * 1024];
    refused::<Message>(&[&[0x98, 200][..], &nested].concat());
    let mut fields = fields(&wire_samples::empty());
    fields.push(nested);
    refused::<Message>(&join(&fields));
}
