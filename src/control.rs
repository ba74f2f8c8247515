//! State that survives: the replicated log and what is kept in it.
//!
//! Everything here is pure: time, chance and messages come in as arguments; messages, writes and
//! results go out as values. After the published form of Raft (Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm", USENIX ATC '14, and Ongaro's dissertation, 2014).

pub mod command;
pub mod configuration;
pub mod document;
pub mod entry;
pub mod healing;
pub mod ledger;
pub mod message;
pub mod orders;
pub mod replica;
pub mod state;

pub use self::{
    command::{Command, CommandOutcome, KeptAnswer, ProposeError},
    entry::{DurableWrite, LogEntry, Membership, PersistBatch, SavedState},
    message::{MessageBody, ReplicaMessage},
};
