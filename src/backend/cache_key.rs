//! Keys of KV cache entries in a cache store.
//!
//! Engines transfer the entries themselves; the router only names them. The cache salt makes a key
//! specific to organisation, model, adapter and weights version, so no engine can be instructed to
//! import an entry of another organisation or of older weights.

use crate::policy::PrefixLevel;

/// Key of the entry for the prompt prefix that ends at `level`.
pub fn cache_entry_key(salt: impl AsRef<str>, level: &PrefixLevel) -> String {
    format!("{}-{:016x}", salt.as_ref(), level.hash)
}
