//! The subcommands, one module each.

pub mod apply;
pub mod cancel;
pub mod config;
pub mod create;
pub mod drain;
pub mod list;
pub mod load;
pub mod member;
pub mod show;
pub mod status;
pub mod timeline;
