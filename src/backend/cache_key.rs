//! Keys of KV cache pieces in prompt-keep.
//!
//! Engines move the pieces themselves; the router only names them. The name holds organisation,
//! model, adapter and weights version by way of the cache salt, so no engine can be told to import
//! a piece of another organisation or of older weights.

use crate::policy::PrefixLevel;

/// The name of the piece that ends at `level`.
pub fn cache_entry_key(salt: impl AsRef<str>, level: &PrefixLevel) -> String {
    format!("{}-{:016x}", salt.as_ref(), level.hash)
}
