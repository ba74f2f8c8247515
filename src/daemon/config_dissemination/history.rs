//! The latest changes of the configuration, for peers that are only a few revisions behind.

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

/// The maximum number of stored changes: about an hour of them at 2,100 a day. A peer that lacks
/// more fetches the complete configuration.
const MAX_CHANGES: usize = 96;
/// The maximum number of records in all stored changes together: about half a megabyte of
/// organisations.
const MAX_RECORDS: usize = 4_096;

/// The configuration in force and its latest changes. Only a higher revision replaces it.
#[derive(Clone, Debug, Default)]
pub struct ConfigHistory {
    current: Arc<ActiveConfig>,
    /// Consecutive changes: each starts at the `to` revision of the previous one, and the last one
    /// ends at `current`.
    changes: VecDeque<Arc<ConfigDelta>>,
    /// The number of records in all changes; at most [`MAX_RECORDS`].
    records: usize,
    /// `current` as JSON, encoded on first use.
    current_json: Arc<OnceLock<String>>,
}

impl ConfigHistory {
    /// The configuration in force; revision 0 before the first one.
    pub fn current(&self) -> &Arc<ActiveConfig> {
        &self.current
    }

    /// Replaces the configuration in force if `config` has a higher revision; returns whether it
    /// did.
    ///
    /// A peer may be behind, and replies may arrive out of order. Activating the last one that
    /// arrives would revert a change that an operator has seen accepted. Comparing revisions
    /// suffices, since the replicated log assigns one to each accepted change.
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
        self.current_json = Arc::default();
        true
    }

    /// What a peer at revision `have` lacks: nothing, the changes since, or the complete
    /// configuration.
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
        PeerReply::Config(Some(
            self.current_json.get_or_init(|| encode_json(&self.current)).clone(),
        ))
    }

    /// The configuration that results from a peer's reply; `None` if the reply contains nothing
    /// usable.
    pub fn config_from_reply(&self, reply: PeerReply) -> Option<ActiveConfig> {
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
        while self.changes.len() > MAX_CHANGES || self.records > MAX_RECORDS {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.records -= oldest.record_count();
        }
    }
}

fn encode_json(config: &ActiveConfig) -> String {
    serde_json::to_string(config).expect("a configuration always encodes")
}
