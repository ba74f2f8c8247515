//! Where streams have begun, as entries report it to control VMs.

use {
    oleandermount::{
        follow::{
            origin_service::{OriginService, copy_receiver},
            stream_origins::{OriginReport, OriginTable, StreamOrigin, stream_key},
        },
        policy::software_history::{STREAM_TIME, VersionState},
        transport::PeerMessage,
    },
    std::time::Instant,
};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".to_owned(), software: software.to_owned() }
}

#[test]
fn reported_streams_are_found() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.record(now, 1, &origin("v1"));
    table.record(now, 2, &origin("v2"));
    assert_eq!(table.find(now, 1), Some(&origin("v1")));
    assert_eq!(table.find(now, 2), Some(&origin("v2")));
    assert_eq!(table.find(now, 3), None);
    assert_eq!(
        table.all(now),
        [
            OriginReport { origin: origin("v1"), streams: vec![1] },
            OriginReport { origin: origin("v2"), streams: vec![2] },
        ]
    );
}

/// A stream that goes on is reported again, and is known for as long again.
#[test]
fn streams_expire() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.record(now, 1, &origin("v1"));
    table.record(now, 2, &origin("v1"));
    let later = now + STREAM_TIME / 2;
    table.record(later, 1, &origin("v1"));
    let end = now + STREAM_TIME;
    assert_eq!(table.find(end, 2), None);
    assert_eq!(table.find(end, 1), Some(&origin("v1")));
    table.record(end, 3, &origin("v1"));
    assert_eq!(table.len(), 2, "the expired stream is removed");
    assert_eq!(table.find(later + STREAM_TIME, 1), None);
}

/// Guards against a table that grows with the streams of a deployment, and with the versions that a list
/// names.
#[test]
fn table_is_bounded() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    for stream in 0..300_000 {
        table.record(now, stream, &origin(&format!("v{}", stream / 10)));
    }
    assert_eq!(table.len(), 131_072);
    assert_eq!(table.find(now, 0), None);
    assert_eq!(table.find(now, 299_999), Some(&origin("v29999")));
}

/// A report takes about eight bytes a stream: hundreds of entries send theirs several times a second.
#[test]
fn reports_are_small() {
    let streams = (0..100).map(|number| stream_key(&format!("{number:016x}"))).collect();
    let origins = vec![OriginReport { origin: origin("v1.12"), streams }];
    let message = PeerMessage::StreamOrigins { origins, is_copy: false };
    let length = postcard::to_stdvec(&message).expect("a message always encodes").len();
    assert!(length <= 1_050, "{length} bytes");
}

#[test]
fn control_vm_answers() {
    let (service, name) = (OriginService::default(), "llm".to_owned());
    service.record(vec![OriginReport { origin: origin("v1"), streams: vec![7] }], false);
    assert_eq!(service.answer(&name, 7).origin, Some(origin("v1")));
    let unknown = service.answer(&name, 8);
    assert_eq!((unknown.origin, unknown.versions), (None, VersionState::Unknown));
}

/// Each control VM copies to another one, and each gets the copies of one.
#[test]
fn copies_go_around() {
    let control: Vec<String> = (1..=3).map(|number| format!("vm-{number}")).collect();
    assert_eq!(copy_receiver(&control[0], &control), Some(&control[1]));
    assert_eq!(copy_receiver(&control[2], &control), Some(&control[0]));
    assert_eq!(copy_receiver(&control[0], &control[..1]), None);
}
