//! Frames of protocol 1 from a client, as `tarpc` 0.38 lays them out.
//!
//! Reading them as `tarpc` does panics if the time that a call has left is too long for a clock.

use std::time::{Duration, Instant};

use serde::Deserialize;
use tarpc::{ClientMessage, Request, context as call, trace};

use crate::gateway::exchange::{ExchangeRequest, wire::MAX_CALL_TIME};

/// A frame from a client.
#[derive(Debug, Deserialize)]
pub enum Frame {
    /// A call.
    Call {
        /// How long the client waits, and its trace.
        context: Context,
        /// Numbers the call.
        id: u64,
        /// The method and its argument.
        message: Box<ExchangeRequest>,
    },
    /// The withdrawal of a call.
    Cancel {
        /// The client's trace.
        trace_context: trace::Context,
        /// The number of the call.
        request_id: u64,
    },
}

/// The circumstances of a call.
#[derive(Debug, Deserialize)]
pub struct Context {
    /// How long the client waits.
    time_left: Duration,
    /// The client's trace.
    trace_context: trace::Context,
}

impl From<Frame> for ClientMessage<ExchangeRequest> {
    fn from(frame: Frame) -> ClientMessage<ExchangeRequest> {
        match frame {
            Frame::Call { context, id, message } => {
                let mut current = call::current();
                current.deadline = Instant::now() + context.time_left.min(MAX_CALL_TIME);
                current.trace_context = context.trace_context;
                ClientMessage::Request(Request { context: current, id, message: *message })
            }
            Frame::Cancel { trace_context, request_id } => {
                ClientMessage::Cancel { trace_context, request_id }
            }
        }
    }
}
