//! What every part of the program builds on: identifiers, time, and the frame in which the
//! daemon's parts register themselves.

pub mod clock;
pub mod context;
pub mod id;
pub mod part;
