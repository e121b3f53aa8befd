//! The interface for operators: the generated messages, conversions between them and the model, and the client.

mod client;
pub mod convert;

/// The messages and methods generated from proto/heathvale.proto.
#[allow(missing_docs, clippy::all, clippy::pedantic, dead_code)]
#[rustfmt::skip]
#[path = "generated/heathvale_v1.rs"]
pub mod pb;

pub use client::{Operator, connect};
