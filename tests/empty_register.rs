//! Tests that a register without organisations admits nobody.

use oleandermount::{inventory::AssetRegister, pipeline::identify::KeyIndex};

/// Guards against a register whose last organisation was removed and which then admits every key.
#[test]
fn empty_register_knows_no_key() {
    let index = KeyIndex::new(&AssetRegister::default());
    for header in [Some("Bearer k1"), Some("Bearer "), Some("k1"), None] {
        let refusal = index.identify(header).expect_err("nobody has a key");
        assert_eq!(refusal.status, 401, "{header:?}");
    }
}
