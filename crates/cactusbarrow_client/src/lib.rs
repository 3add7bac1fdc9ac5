//! The operators' client `cactusbarrow`: validates documents, commits configuration changes to the
//! store, and shows their state.

#![warn(missing_docs)]

mod commands;
mod exit;
mod explain;
mod flags;
mod input;
mod output;
mod status;

pub use commands::main;
