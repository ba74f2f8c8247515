//! Followers of a document are sent what changed, and end with exactly what the operator wrote.

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
/// What control may take of a daemon's link in a second.
const BYTES_ALLOWED: usize = 21 << 10;

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

/// Guards against control VMs that cannot lead for the documents they send: a long one went whole to each
/// of hundreds of daemons at each change.
#[test]
fn few_bytes_for_few_routes() {
    let before = routes(4, (0..1_500).map(|number| route(number, 4_000)));
    let changed = |number| route(number, if number % 500 == 3 { 5_000 } else { 4_000 });
    let after = routes(5, (0..1_502).filter(|number| *number != 700).map(changed));
    let mut history = DocumentHistory::default();
    history.record(&before);
    let DocumentChange::Delta(delta) = history.change_since(4, &after) else {
        panic!("much of it is kept");
    };
    let length = postcard::to_stdvec(&*delta).expect("it encodes").len();
    assert!(length <= BYTES_ALLOWED, "{length} bytes for {} bytes of document", after.body.len());
    let mut state = SharedState { document: before, ..SharedState::default() };
    let reply = FollowReply {
        document_delta: Some(DocumentDelta::clone(&delta)),
        ..FollowReply::default()
    };
    assert!(state.apply(reply));
    assert_eq!(state.document, after);
}

/// A text made of a few words, so that two of them share parts at other places.
#[derive(Clone, Debug)]
struct SharedWords(String);

impl Arbitrary for SharedWords {
    fn arbitrary(random: &mut Gen) -> Self {
        let words = ["ä", "route", "timeout", "service-service-service", "\n", "0"];
        let count = usize::arbitrary(random) % 4_000;
        let block: String =
            (0..count).map(|_| *random.choose(&words).expect("there are")).collect();
        SharedWords(block.repeat(1 + usize::arbitrary(random) % 3))
    }
}

/// Guards against a configuration in force that nobody wrote.
#[test]
fn any_change_comes_out() {
    fn holds(head: SharedWords, one: SharedWords, other: SharedWords, tail: SharedWords) -> bool {
        let text = |middle: &SharedWords| format!("{}{}{}", head.0, middle.0, tail.0);
        let (before, after) = (document(1, &text(&one)), document(2, &text(&other)));
        let delta = DocumentDelta::between(&before, &after);
        delta.is_none_or(|delta| delta.apply(&before).as_ref() == Ok(&after))
    }
    let property: fn(SharedWords, SharedWords, SharedWords, SharedWords) -> bool = holds;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(300).quickcheck(property);
}

/// Guards against a difference that is applied to another document of that number: the follower keeps
/// what it has, says so, and gets the whole one.
#[test]
fn misfit_asks_for_all() {
    let before = routes(4, (0..100).map(|number| route(number, 4_000)));
    let after = routes(5, (0..100).map(|number| route(number, 4_000 + u32::from(number == 7))));
    let delta = DocumentDelta::between(&before, &after).expect("much of it is kept");
    let other = routes(4, (0..100).map(|number| route(number, 3_999)));
    assert_eq!(delta.apply(&other), Err(DeltaError::OtherBody));
    let stranger = document(3, "{}");
    assert_eq!(delta.apply(&stranger), Err(DeltaError::OtherBase { base: 4, held: 3 }));
    let mut state = SharedState { document: other.clone(), ..SharedState::default() };
    state.apply(FollowReply { document_delta: Some(delta), ..FollowReply::default() });
    assert_eq!((&state.document, state.needs_whole), (&other, true));
    state.apply(FollowReply { document: Some(after.clone()), ..FollowReply::default() });
    assert_eq!((state.document, state.needs_whole), (after, false));
}

#[test]
fn nothing_goes_back() {
    let (first, second) =
        (routes(4, (0..50).map(|n| route(n, 1))), routes(5, (0..50).map(|n| route(n, 1))));
    let delta = DocumentDelta::between(&first, &second).expect("much of it is kept");
    let mut state = SharedState { document: document(6, "{}"), ..SharedState::default() };
    state.apply(FollowReply { document_delta: Some(delta), ..FollowReply::default() });
    assert_eq!((state.document.number, state.needs_whole), (6, false));
}

#[test]
fn whole_where_little_is_kept() {
    let mut history = DocumentHistory::default();
    let (one, other) = (document(1, &"ab".repeat(4_000)), document(2, &"xyz".repeat(4_000)));
    history.record(&one);
    assert_eq!(history.change_since(1, &other), DocumentChange::Whole(other.clone()));
    assert_eq!(history.change_since(77, &other), DocumentChange::Whole(other));
}

#[test]
fn history_is_bounded() {
    let mut history = DocumentHistory::default();
    let body: Arc<str> = "route ".repeat(200_000).into();
    for number in 1..40 {
        history.record(&NumberedDocument { number, body: Arc::clone(&body) });
    }
    let last = NumberedDocument { number: 40, body: Arc::clone(&body) };
    let known = (1..40)
        .filter(|number| matches!(history.change_since(*number, &last), DocumentChange::Delta(_)));
    assert_eq!(known.count(), 6, "1.2 MB each, 8 MiB beside the present one");
    let parts = vec![DocumentPart::Kept { start: 0, length: 1_200_000 }];
    let DocumentChange::Delta(delta) = history.change_since(39, &last) else {
        panic!("it is known")
    };
    assert_eq!(delta.parts, parts);
}
