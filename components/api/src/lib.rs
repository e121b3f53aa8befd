//! The calls of operators: the generated messages, and the steps between them and the model.

mod client;
pub mod convert;

/// The messages and methods of proto/heathvale.proto, as the generator wrote them.
#[allow(missing_docs, clippy::all, clippy::pedantic, dead_code)]
#[rustfmt::skip]
#[path = "generated/heathvale_v1.rs"]
pub mod pb;

pub use client::{Operator, connect};
