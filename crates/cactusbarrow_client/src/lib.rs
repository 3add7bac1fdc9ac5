//! The operators' client: validates documents and brings changes into force.

#![warn(missing_docs)]

mod commands;
mod exit;
mod explain;
mod flags;
mod input;
mod output;
mod status;

pub use commands::main;
