//! The latest changes of the configuration, for peers that lack only these.

use {
    crate::{
        ids::Revision,
        inventory::ActiveConfig,
        transport::{config_delta::ConfigDelta, message::PeerReply},
    },
    std::{
        collections::VecDeque,
        sync::{Arc, OnceLock},
    },
};

/// Changes kept: an hour of them at 2,100 a day is 88; who lacks more fetches the whole.
const MOST_CHANGES: usize = 96;
/// Records kept over all changes: about half a megabyte of organisations.
const MOST_RECORDS: usize = 4_096;

/// The configuration in force and how it came to be. Nothing but a later revision replaces it.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    current: Arc<ActiveConfig>,
    /// Each leads from the `to` of the one before; the last leads to `current`.
    changes: VecDeque<Arc<ConfigDelta>>,
    /// The records of all changes; at most [`MOST_RECORDS`].
    records: usize,
    /// `current` as JSON, made when first asked for.
    whole: Arc<OnceLock<String>>,
}

impl ConfigHistory {
    /// The configuration in force.
    pub fn current(&self) -> &Arc<ActiveConfig> {
        &self.current
    }

    /// Takes a configuration if it is later than the one in force; tells whether it was.
    ///
    /// A peer may be behind, and replies may overtake each other. Were the last to arrive put in
    /// force, a rule that an operator has seen accepted would vanish again at this daemon.
    /// Revisions are given by the replicated log, one to each accepted change, so comparing them
    /// is enough.
    #[must_use]
    pub fn advance(&mut self, config: Arc<ActiveConfig>) -> bool {
        if config.revision <= self.current.revision {
            return false;
        }
        match ConfigDelta::between(&self.current, &config) {
            Some(delta) => self.push(delta),
            None => {
                self.changes.clear();
                self.records = 0;
            }
        }
        self.current = config;
        self.whole = Arc::default();
        true
    }

    /// What a peer that has revision `have` lacks: nothing, the changes since, or the whole.
    pub fn answer(&self, have: Revision) -> PeerReply {
        if have >= self.current.revision {
            return PeerReply::Config(None);
        }
        let missing: Vec<ConfigDelta> = self
            .changes
            .iter()
            .skip_while(|change| change.from != have)
            .map(|change| ConfigDelta::clone(change))
            .collect();
        if !missing.is_empty() {
            return PeerReply::ConfigChanges(missing);
        }
        PeerReply::Config(Some(self.whole.get_or_init(|| whole_text(&self.current)).clone()))
    }

    /// The configuration that a peer's reply leads to; `None` when it holds nothing usable.
    pub fn read(&self, reply: PeerReply) -> Option<ActiveConfig> {
        match reply {
            PeerReply::Config(Some(text)) => serde_json::from_str(&text).ok(),
            PeerReply::ConfigChanges(changes) => {
                let mut changes = changes.iter();
                let first = changes.next()?.apply(&self.current)?;
                changes.try_fold(first, |config, change| change.apply(&config))
            }
            _ => None,
        }
    }

    fn push(&mut self, delta: ConfigDelta) {
        self.records += delta.record_count();
        self.changes.push_back(Arc::new(delta));
        while self.changes.len() > MOST_CHANGES || self.records > MOST_RECORDS {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.records -= oldest.record_count();
        }
    }
}

fn whole_text(config: &ActiveConfig) -> String {
    serde_json::to_string(config).expect("a configuration always encodes")
}
