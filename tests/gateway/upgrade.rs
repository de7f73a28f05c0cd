//! Daemons of two builds on real connections.

use std::{io, net::SocketAddr, pin::Pin, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tarpc::{
    client, context as call,
    server::{BaseChannel, Channel},
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};
use tealturn::{
    fleet::transport::{self, Transport},
    gateway::{
        exchange::{
            Exchange, ExchangeClient, ExchangeRequest, ExchangeResponse,
            fetch::{Part, Wanted},
            origin::Lookup,
            wire::Codec,
        },
        message::Message,
        origin,
        permit::{self, Verdict},
        quota,
    },
    kernel::id::Build,
};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::wire_samples;

const PATH: &str = "/exchange";

const PATIENCE: Duration = Duration::from_secs(5);

/// A daemon that answers with what it was sent.
#[derive(Clone)]
struct Echo;

impl Exchange for Echo {
    async fn exchange(self, _: call::Context, message: Message) -> Message {
        message
    }

    async fn permit(self, _: call::Context, _: permit::Ask) -> Verdict {
        Verdict::Granted
    }

    async fn quota(self, _: call::Context, ask: quota::Ask) -> quota::Verdict {
        let (workspace, amount) = (ask.workspace, ask.amount);
        let incarnation = wire_samples::empty().incarnation;
        quota::Verdict::Granted(quota::Grant { workspace, amount, incarnation })
    }

    async fn return_quota(self, _: call::Context, _: quota::Grant) {}

    async fn keep_origin(self, _: call::Context, _: origin::Entry) {}

    async fn find_origin(self, _: call::Context, attempt: u64) -> Option<Build> {
        Some(Build::from(&*attempt.to_string()))
    }

    async fn fetch_rows(self, _: call::Context, _: Wanted) -> Option<Part> {
        None
    }

    async fn look_up_origin(self, _: call::Context, attempt: u64) -> Lookup {
        let incarnation = wire_samples::empty().incarnation;
        Lookup { incarnation, build: Some(Build::from(&*attempt.to_string())) }
    }
}

/// The transport of a client and of a server of production commit ce03f73.
type OldClient = Bincode<tarpc::Response<ExchangeResponse>, tarpc::ClientMessage<ExchangeRequest>>;
type OldServer = Bincode<tarpc::ClientMessage<ExchangeRequest>, tarpc::Response<ExchangeResponse>>;

async fn serve(is_old: bool, stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bound");
    let address = listener.local_addr().expect("an address");
    if is_old {
        let answer = |transport: Transport<_, _, OldServer>| {
            let channel = BaseChannel::with_defaults(transport);
            channel.execute(Echo.serve()).for_each(|call| call)
        };
        tokio::spawn(transport::serve(listener, answer, stop));
    } else {
        let answer = |transport: Transport<_, _, Codec>| {
            let channel = BaseChannel::with_defaults(transport);
            channel.execute(Echo.serve()).for_each(|call| call)
        };
        tokio::spawn(transport::serve(listener, answer, stop));
    }
    address
}

async fn connect(is_old: bool, address: SocketAddr) -> ExchangeClient {
    let config = client::Config::default();
    if is_old {
        let transport = transport::connect::<_, _, OldClient>(address, PATH).await;
        return ExchangeClient::new(config, transport.expect("connected")).spawn();
    }
    let transport = transport::connect::<_, _, Codec>(address, PATH).await;
    ExchangeClient::new(config, transport.expect("connected")).spawn()
}

/// Guards against builds that refuse each other's messages or read them as others while daemons are replaced,
/// forth or back.
#[tokio::test]
async fn daemons_of_two_builds_understand_each_other() {
    struct Case {
        is_old_client: bool,
        is_old_server: bool,
    }
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    for case in [
        Case { is_old_client: true, is_old_server: true },
        Case { is_old_client: true, is_old_server: false },
        Case { is_old_client: false, is_old_server: true },
        Case { is_old_client: false, is_old_server: false },
    ] {
        let name = format!("old client {}, old server {}", case.is_old_client, case.is_old_server);
        let address = serve(case.is_old_server, stop.child_token()).await;
        let client = connect(case.is_old_client, address).await;
        for message in [wire_samples::empty(), wire_samples::full()] {
            let echo = client.exchange(call::current(), message.clone()).await;
            assert_eq!(echo.expect("an answer"), message, "{name}");
        }
        let build = client.find_origin(call::current(), 12).await.expect("an answer");
        assert_eq!(build, Some(Build::from("12")), "{name}");
        let ask = permit::Ask {
            upstream: 1,
            incarnation: wire_samples::empty().incarnation,
            rate: 1.0,
            purpose: permit::Purpose::Call,
        };
        let verdict = client.permit(call::current(), ask).await.expect("an answer");
        assert_eq!(verdict, Verdict::Granted, "{name}");
    }
}

/// Sends any bytes as frames, as a daemon that speaks protocol `P` does.
struct Raw<const P: u32>;

impl<const P: u32> transport::Codec for Raw<P> {
    const NEWEST: u32 = P;

    fn speaking(_: u32) -> Raw<P> {
        Raw
    }
}

impl<const P: u32> Serializer<Vec<u8>> for Raw<P> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, frame: &Vec<u8>) -> io::Result<Bytes> {
        Ok(frame.clone().into())
    }
}

impl<const P: u32> Deserializer<Vec<u8>> for Raw<P> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Vec<u8>> {
        Ok(frame.to_vec())
    }
}

/// Sends a frame; returns whether the daemon closes the connection without an answer.
async fn is_refused<const P: u32>(address: SocketAddr, frame: &[u8]) -> bool {
    let connected = transport::connect::<Vec<u8>, Vec<u8>, Raw<P>>(address, PATH).await;
    let mut transport = connected.expect("connected");
    transport.send(frame.to_vec()).await.expect("sent");
    let answer = time::timeout(PATIENCE, transport.next()).await.expect("an end in time");
    !matches!(answer, Some(Ok(_)))
}

/// Guards against malformed frames that take a daemon down or hang it.
#[tokio::test]
async fn a_malformed_frame_ends_its_connection_only() {
    struct Case {
        name: &'static str,
        frame: Vec<u8>,
    }
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let address = serve(false, stop.child_token()).await;
    let client = connect(false, address).await;
    for case in [
        Case { name: "nothing", frame: vec![] },
        Case { name: "noise", frame: vec![0xff; 100] },
        Case { name: "a method that nobody knows", frame: vec![0x85, 0, 1, 0, 0x18, 99, 0x80] },
        Case { name: "a kind that nobody knows", frame: vec![0x82, 9, 1] },
        Case { name: "a call without argument", frame: vec![0x84, 0, 1, 0, 1] },
        Case { name: "a list without end", frame: vec![0x9b, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0] },
        Case { name: "lists in lists", frame: vec![0x81; 4 * 1024 * 1024] },
        Case {
            name: "a time that no clock has, in protocol 1",
            frame: [&[0, 0xfd][..], &[0xff; 8], &[0; 40]].concat(),
        },
    ] {
        let refused = [
            is_refused::<1>(address, &case.frame).await,
            is_refused::<2>(address, &case.frame).await,
        ];
        assert_eq!(refused, [true; 2], "{}", case.name);
        let echo = client.exchange(call::current(), wire_samples::full()).await;
        assert_eq!(echo.expect("an answer"), wire_samples::full(), "after {}", case.name);
    }
}
