//! Followers of a document receive deltas and end up with exactly the operator's document.

use {
    oleandermount::{
        control::document::NumberedDocument,
        follow::{
            FollowReply, SharedState,
            document_delta::{
                DeltaError, DocumentChange, DocumentDelta, DocumentHistory, DocumentPart,
            },
        },
        ids::DocumentNumber,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::sync::Arc,
};

const SEED: u64 = 25;
/// The bytes that control traffic may take of a daemon's link in a second.
const MAX_DELTA_BYTES: usize = 21 << 10;

fn document(number: DocumentNumber, body: &str) -> NumberedDocument {
    NumberedDocument { number, body: body.into() }
}

fn route(number: usize, timeout: u32) -> String {
    format!(
        r#"{{"name":"r-{number}","host":"h{}.example","pathPrefix":"/p{number}/","kind":"safe","timeoutMs":{timeout},"service":"app"}}"#,
        number % 7
    )
}

fn routes(number: DocumentNumber, routes: impl Iterator<Item = String>) -> NumberedDocument {
    let routes: Vec<String> = routes.collect();
    document(number, &format!(r#"{{"version":{number},"routes":[{}]}}"#, routes.join(",")))
}

/// Guards against control VMs that miss heartbeats while they send a long document in full to
/// hundreds of daemons at each change.
#[test]
fn delta_of_few_routes_is_small() {
    let before = routes(4, (0..1_500).map(|number| route(number, 4_000)));
    let changed = |number| route(number, if number % 500 == 3 { 5_000 } else { 4_000 });
    let after = routes(5, (0..1_502).filter(|number| *number != 700).map(changed));
    let mut history = DocumentHistory::default();
    history.record(&before);
    let DocumentChange::Delta(delta) = history.change_since(4, &after) else {
        panic!("most of the document is unchanged");
    };
    let length = postcard::to_stdvec(&*delta).expect("it encodes").len();
    assert!(length <= MAX_DELTA_BYTES, "{length} bytes for {} bytes of document", after.body.len());
    let mut state = SharedState { document: before, ..SharedState::default() };
    let reply = FollowReply {
        document_delta: Some(DocumentDelta::clone(&delta)),
        ..FollowReply::default()
    };
    assert!(state.apply(reply));
    assert_eq!(state.document, after);
}

/// A text of a few words, so that two texts have common parts at different offsets.
#[derive(Clone, Debug)]
struct SharedWords(String);

impl Arbitrary for SharedWords {
    fn arbitrary(random: &mut Gen) -> Self {
        let words = ["ä", "route", "timeout", "service-service-service", "\n", "0"];
        let count = usize::arbitrary(random) % 4_000;
        let block: String =
            (0..count).map(|_| *random.choose(&words).expect("the list is not empty")).collect();
        SharedWords(block.repeat(1 + usize::arbitrary(random) % 3))
    }
}

/// Guards against a document in force that no operator wrote.
#[test]
fn delta_yields_the_new_document() {
    fn is_exact(
        head: SharedWords,
        one: SharedWords,
        other: SharedWords,
        tail: SharedWords,
    ) -> bool {
        let text = |middle: &SharedWords| format!("{}{}{}", head.0, middle.0, tail.0);
        let (before, after) = (document(1, &text(&one)), document(2, &text(&other)));
        let delta = DocumentDelta::between(&before, &after);
        delta.is_none_or(|delta| delta.apply(&before).as_ref() == Ok(&after))
    }
    let property: fn(SharedWords, SharedWords, SharedWords, SharedWords) -> bool = is_exact;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(300).quickcheck(property);
}

/// Guards against a delta that is applied to another document with the same number: the follower
/// keeps its document and requests the full one.
#[test]
fn mismatch_requests_full_document() {
    let before = routes(4, (0..100).map(|number| route(number, 4_000)));
    let after = routes(5, (0..100).map(|number| route(number, 4_000 + u32::from(number == 7))));
    let delta = DocumentDelta::between(&before, &after).expect("most of the document is unchanged");
    let other = routes(4, (0..100).map(|number| route(number, 3_999)));
    assert_eq!(delta.apply(&other), Err(DeltaError::OtherBody));
    let unrelated = document(3, "{}");
    assert_eq!(delta.apply(&unrelated), Err(DeltaError::OtherBase { base: 4, held: 3 }));
    let mut state = SharedState { document: other.clone(), ..SharedState::default() };
    state.apply(FollowReply { document_delta: Some(delta), ..FollowReply::default() });
    assert_eq!((&state.document, state.needs_full), (&other, true));
    state.apply(FollowReply { document: Some(after.clone()), ..FollowReply::default() });
    assert_eq!((state.document, state.needs_full), (after, false));
}

#[test]
fn older_delta_is_ignored() {
    let (first, second) =
        (routes(4, (0..50).map(|n| route(n, 1))), routes(5, (0..50).map(|n| route(n, 1))));
    let delta = DocumentDelta::between(&first, &second).expect("most of the document is unchanged");
    let mut state = SharedState { document: document(6, "{}"), ..SharedState::default() };
    state.apply(FollowReply { document_delta: Some(delta), ..FollowReply::default() });
    assert_eq!((state.document.number, state.needs_full), (6, false));
}

#[test]
fn large_change_is_sent_in_full() {
    let mut history = DocumentHistory::default();
    let (one, other) = (document(1, &"ab".repeat(4_000)), document(2, &"xyz".repeat(4_000)));
    history.record(&one);
    assert_eq!(history.change_since(1, &other), DocumentChange::Full(other.clone()));
    assert_eq!(history.change_since(77, &other), DocumentChange::Full(other));
}

/// Guards against followers that are sent a long document in full at each change: it changed several
/// times during its transfer, and the control VM no longer had the document that they hold.
#[test]
fn each_base_leads_to_the_present_document() {
    let mut history = DocumentHistory::default();
    // Each change moves, replaces or adds routes, so that later changes affect earlier ones.
    let text = |number: usize| {
        let changed = |route_number| {
            let changes =
                (1..=number).filter(|change| (change * 37) % 5_000 == route_number).count();
            route(route_number, 4_000 + changes as u32)
        };
        routes(number as DocumentNumber, (number % 5..5_000 + number / 3).map(changed))
    };
    let documents: Vec<NumberedDocument> = (1..=16).map(text).collect();
    for (index, present) in documents.iter().enumerate() {
        history.record(present);
        for base in &documents[..index] {
            let DocumentChange::Delta(delta) = history.change_since(base.number, present) else {
                panic!("{} to {} is sent in full", base.number, present.number);
            };
            assert_eq!(delta.apply(base).as_ref(), Ok(present), "from {}", base.number);
        }
    }
}

/// Guards against a history that grows with the number and the length of the documents.
#[test]
fn history_is_bounded() {
    let mut history = DocumentHistory::default();
    let body: Arc<str> = "route ".repeat(200_000).into();
    for number in 1..100 {
        history.record(&NumberedDocument { number, body: Arc::clone(&body) });
    }
    let last = NumberedDocument { number: 100, body: Arc::clone(&body) };
    let known = (1..100)
        .filter(|number| matches!(history.change_since(*number, &last), DocumentChange::Delta(_)));
    assert_eq!(known.count(), 64, "the bases, of which only the deltas are stored");
    assert_eq!(Arc::strong_count(&body), 3, "only the present document is stored");
    let parts = vec![DocumentPart::Kept { start: 0, length: 1_200_000 }];
    let DocumentChange::Delta(delta) = history.change_since(99, &last) else {
        panic!("the base is known")
    };
    assert_eq!(delta.parts, parts);
}

/// Guards against deltas that together take more memory than the document, which is stored once for
/// all followers.
#[test]
fn deltas_are_bounded() {
    let mut history = DocumentHistory::default();
    let text = |number: usize| {
        let timeout = |route_number| if route_number < number * 30 { 5_000 } else { 4_000 };
        routes(
            number as DocumentNumber,
            (0..12_000).map(|route_number| route(route_number, timeout(route_number))),
        )
    };
    for number in 1..=20 {
        history.record(&text(number));
    }
    let present = text(20);
    for base in 1..20 {
        if let DocumentChange::Delta(delta) = history.change_since(base, &present) {
            let length = postcard::to_stdvec(&*delta).expect("it encodes").len();
            assert!(length <= MAX_DELTA_BYTES, "{length} bytes from {base}");
        }
    }
    assert!(matches!(history.change_since(1, &present), DocumentChange::Full(_)));
    assert!(matches!(history.change_since(19, &present), DocumentChange::Delta(_)));
}
