//! Replicated state: a Raft log and the state machine that it drives.
//!
//! No module here performs I/O or reads clocks. Time, random seeds and messages are passed in as
//! arguments; messages, writes and results are returned as values. The protocol follows Raft
//! (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC '14,
//! and Ongaro's dissertation, 2014).

pub mod command;
pub mod configuration;
pub mod document;
pub mod entry;
pub mod healing;
pub mod ledger;
pub mod message;
pub mod orders;
pub mod packed_document;
pub mod replica;
pub mod state;

pub use self::{
    command::{Command, CommandOutcome, KeptAnswer, ProposeError},
    entry::{DurableWrite, LogEntry, Membership, PersistBatch, SavedState},
    message::{MessageBody, ReplicaMessage},
};
