//! The subcommands, one file each.

pub mod apply;
pub mod cancel;
mod change;
pub mod config;
pub mod create;
pub mod drain;
pub mod list;
pub mod load;
pub mod member;
mod reach;
pub mod show;
pub mod status;
pub mod timeline;
