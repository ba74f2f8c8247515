//! Prefix levels separate organisations, models and adapters, and expected hits end with the
//! incarnation and the weights under which they were recorded.

use {
    oleandermount::policy::prefix::{
        MAX_LEVELS, PrefixTable, PromptSegment, ServerCacheState, cache_salt, levels,
    },
    std::collections::BTreeSet,
};

fn segments(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("message {index}")).collect()
}

fn prompt_segments(texts: &[String]) -> Vec<PromptSegment<'_>> {
    texts.iter().map(|text| PromptSegment { bytes: text.as_bytes(), tokens: 100 }).collect()
}

#[test]
fn boundaries_change_every_level() {
    let texts = segments(3);
    let prompt = prompt_segments(&texts);
    let lists = [
        levels("naran", "m", None, &prompt),
        levels("saran", "m", None, &prompt),
        levels("naran", "n", None, &prompt),
        levels("naran", "m", Some("a"), &prompt),
        levels("naranm", "", None, &prompt),
    ];
    let hashes: BTreeSet<u64> = lists.iter().flatten().map(|level| level.hash).collect();
    assert_eq!(hashes.len(), lists.len() * texts.len());
    assert_ne!(cache_salt("naran", "m", None, "w1"), cache_salt("naran", "m", None, "w2"));
    assert_ne!(cache_salt("naran", "m", None, "w1"), cache_salt("nara", "nm", None, "w1"));
}

#[test]
fn longer_conversations_share_levels() {
    let texts = segments(500);
    for count in [1, 2, 40, 63, 64, 65, 130, 499] {
        let short = levels("naran", "m", None, &prompt_segments(&texts[..count]));
        let long = levels("naran", "m", None, &prompt_segments(&texts[..count + 1]));
        assert!(short.len() <= MAX_LEVELS && long.len() <= MAX_LEVELS);
        assert_eq!(short.last().map(|level| level.tokens), Some(100 * count as u32));
        let shared = long.iter().rev().find(|level| short.contains(level));
        let least = if count == 1 { 0 } else { 50 * count as u32 };
        assert!(shared.map_or(0, |level| level.tokens) >= least, "{count} messages");
    }
}

/// After a server restarts or loads other weights, its former cache contents are lost. No hit may
/// be expected, not even when the former incarnation is reported again.
#[test]
fn hits_end_with_incarnation_and_weights() {
    let texts = segments(2);
    let list = levels("naran", "m", None, &prompt_segments(&texts));
    let mut table = PrefixTable::new(100);
    let mut cache = ServerCacheState::default();
    let hit = |table: &PrefixTable, cache: &ServerCacheState| {
        table.hits(&list, 4, |holder| cache.holds(holder)).first().map(|(_, tokens)| *tokens)
    };
    assert!(!cache.allows_hits_for("m", None), "an unknown incarnation allows no hits");
    cache.record_incarnation(Some(1));
    assert!(!cache.allows_hits_for("m", None), "unknown weights allow no hits");
    let weights = |version: &str| [("m".to_owned(), version.to_owned())].into();
    cache.record_weights(&weights("w1"));
    table.record(&list, 0, &cache);
    assert_eq!(hit(&table, &cache), Some(200));
    assert!(!cache.allows_hits_for("m", Some(&"w2".to_owned())), "other weights are desired");
    cache.record_weights(&weights("w2"));
    assert_eq!(hit(&table, &cache), None);
    table.record(&list, 0, &cache);
    cache.record_incarnation(Some(2));
    cache.record_weights(&weights("w2"));
    assert_eq!(hit(&table, &cache), None);
    cache.record_incarnation(Some(1));
    cache.record_weights(&weights("w2"));
    assert_eq!(hit(&table, &cache), None);
}

#[test]
fn table_stays_bounded() {
    let mut table = PrefixTable::new(64);
    let mut cache = ServerCacheState::default();
    cache.record_incarnation(Some(1));
    for hash in 0..1_000 {
        table.record_hash(hash, hash as usize % 40, &cache);
        table.record_hash(7, hash as usize % 40, &cache);
    }
    assert_eq!(table.len(), 64);
    assert!(table.contains(7) && !table.contains(8));
}
