//! The journal of stream origins on the disk of a control VM.

#[path = "fakes/memory_files.rs"]
mod memory_files;

use {
    memory_files::MemoryFiles,
    oleandermount::{
        follow::{
            origin_journal::{JournalBatch, JournalContent, OriginJournal},
            origin_service::OriginService,
            stream_origins::{OriginReport, StreamKey, StreamOrigin, stream_key},
        },
        policy::software_history::{STREAM_TIME, ServiceRecord, VersionState},
    },
    quickcheck::quickcheck,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::time::{interval, timeout},
};

const LONG_TIME: Duration = Duration::from_secs(60);
/// Streams that begin in a second in the largest deployment.
const STREAM_RATE: usize = 12_000;
const CONTROL_VMS: usize = 7;
/// A control VM has the reports of its own followers and copies of those of one other.
const STREAMS_PER_SECOND: usize = 2 * STREAM_RATE / CONTROL_VMS;
const BATCHES_PER_SECOND: usize = 5;
/// The most that a key takes in a record, in bytes.
const KEY_BYTES: usize = 10;
/// The most that a record takes beside its keys, in bytes.
const RECORD_BYTES: usize = 512;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".to_owned(), software: software.to_owned() }
}

fn reports(software: &str, streams: &[StreamKey]) -> Vec<OriginReport> {
    vec![OriginReport { origin: origin(software), streams: streams.to_vec() }]
}

fn batch(software: &str, streams: &[StreamKey]) -> JournalBatch {
    JournalBatch { streams: reports(software, streams), services: Vec::new() }
}

fn record(software: &str) -> ServiceRecord {
    ServiceRecord {
        service: "llm".to_owned(),
        versions: [software.to_owned()].into(),
        known_for: STREAM_TIME,
        changed_ago: None,
    }
}

fn open(files: &MemoryFiles, now: SystemTime) -> (OriginJournal, JournalContent) {
    OriginJournal::open(Box::new(files.clone()), now).expect("the folder can be read")
}

fn streams_of(content: &JournalContent) -> Vec<StreamKey> {
    content.streams.iter().flat_map(|report| report.streams.clone()).collect()
}

/// Guards against interrupted streams that cannot be resumed since all VMs have lost power, also if they
/// lose it again while they start.
#[test]
fn restarts_keep_streams() {
    let (files, now) = (MemoryFiles::default(), SystemTime::now());
    let (mut journal, content) = open(&files, now);
    assert_eq!(content, JournalContent::default());
    assert!(journal.needs_rewrite() && journal.append(now, batch("v1", &[1])).is_err());
    journal.rewrite(now, batch("v1", &[1, 2])).expect("the disk works");
    journal.append(now, batch("v2", &[3])).expect("the disk works");
    for _ in 0..2 {
        let (mut journal, content) = open(&files, now);
        assert_eq!(streams_of(&content), [1, 2, 3]);
        // The power is lost before the new file has its name.
        files.image().sync_fails = true;
        let batch = JournalBatch { streams: content.streams, services: Vec::new() };
        assert!(journal.rewrite(now, batch.clone()).is_err());
        files.image().sync_fails = false;
        let (mut journal, _) = open(&files, now);
        journal.rewrite(now, batch).expect("the disk works");
        assert_eq!(files.content().len(), 1, "former files are removed");
    }
}

/// Guards against a disk that fails once and after which nothing is written any more.
#[test]
fn failed_write_needs_rewrite() {
    let (files, now) = (MemoryFiles::default(), SystemTime::now());
    let (mut journal, _) = open(&files, now);
    journal.rewrite(now, batch("v1", &[1])).expect("the disk works");
    files.image().sync_fails = true;
    assert!(journal.append(now, batch("v1", &[2])).is_err());
    files.image().sync_fails = false;
    assert!(journal.needs_rewrite());
    journal.rewrite(now, batch("v1", &[1, 2])).expect("the disk works");
    assert_eq!(streams_of(&open(&files, now).1), [1, 2]);
}

/// Guards against a journal that fills the disk.
#[test]
fn long_file_needs_rewrite() {
    let (files, now) = (MemoryFiles::default(), SystemTime::now());
    let (mut journal, _) = open(&files, now);
    journal.rewrite(now, JournalBatch::default()).expect("the disk works");
    let streams: Vec<StreamKey> = (0..100_000).map(|number| u64::MAX - number).collect();
    let mut appended = 0;
    while !journal.needs_rewrite() {
        journal.append(now, batch("v1", &streams)).expect("the disk works");
        appended += 1;
        assert!(appended < 20);
    }
    journal.rewrite(now, batch("v1", &streams)).expect("the disk works");
    assert!(!journal.needs_rewrite());
}

fn size(files: &MemoryFiles) -> usize {
    files.content().values().map(Vec::len).sum()
}

/// Guards against a journal whose writes take more of the disk than the keys of the streams need, in the
/// largest deployment with two versions of each service.
#[test]
fn writes_are_small_at_full_rate() {
    let (files, now) = (MemoryFiles::default(), SystemTime::now());
    let (mut journal, _) = open(&files, now);
    let streams = |count: usize| -> Vec<StreamKey> {
        (0..count).map(|number| stream_key(&format!("request-{number}"))).collect()
    };
    let batch = |keys: &[StreamKey]| {
        let (first, second) = keys.split_at(keys.len() / 2);
        let streams = [reports("v1", first), reports("v2", second)].concat();
        JournalBatch { streams, services: vec![record("v1")] }
    };
    let all = streams(STREAMS_PER_SECOND * STREAM_TIME.as_secs() as usize);
    journal.rewrite(now, batch(&all)).expect("the disk works");
    let rewritten = size(&files);
    assert!(rewritten <= all.len() * KEY_BYTES + RECORD_BYTES, "{rewritten} bytes rewritten");
    let mut appended = 0;
    for keys in all[..STREAMS_PER_SECOND].chunks(STREAMS_PER_SECOND.div_ceil(BATCHES_PER_SECOND)) {
        journal.append(now, batch(keys)).expect("the disk works");
        appended += keys.len();
    }
    let written = size(&files) - rewritten;
    let bound = appended * KEY_BYTES + BATCHES_PER_SECOND * RECORD_BYTES;
    assert!(written <= bound, "{written} bytes appended in a second");
    assert!(!journal.needs_rewrite());
    println!("{rewritten} bytes rewritten, {written} bytes appended in a second");
}

/// Guards against versions that count after a restart although the clock does not tell how old they are.
#[test]
fn clock_set_back_hides_versions() {
    let (files, now) = (MemoryFiles::default(), SystemTime::now());
    let (mut journal, _) = open(&files, now);
    let written = JournalBatch { streams: reports("v1", &[1]), services: vec![record("v1")] };
    journal.rewrite(now, written).expect("the disk works");
    let second = Duration::from_secs(1);
    let (age, services) = open(&files, now + second).1.services.expect("they were written");
    assert!(age >= second && age < 2 * second && services == [record("v1")], "{age:?}");
    let earlier = open(&files, now - second).1;
    assert_eq!((earlier.services.is_none(), streams_of(&earlier)), (true, vec![1]));
}

quickcheck! {
    /// Guards against a start that fails, or that invents streams, because the last write was interrupted or
    /// a file is damaged.
    fn damaged_file_keeps_beginning(cut: usize, flipped: Option<usize>) -> bool {
        let (files, now) = (MemoryFiles::default(), SystemTime::now());
        let (mut journal, _) = open(&files, now);
        journal.rewrite(now, batch("v1", &[1])).expect("the disk works");
        for stream in 2..10 {
            journal.append(now, batch("v1", &[stream])).expect("the disk works");
        }
        let mut content = files.content();
        let bytes = content.values_mut().next().expect("there is a file");
        bytes.truncate(cut % (bytes.len() + 1));
        if let Some(at) = flipped.filter(|_| !bytes.is_empty()) {
            let at = at % bytes.len();
            bytes[at] ^= 1;
        }
        let streams = streams_of(&open(&MemoryFiles::with_files(&content), now).1);
        streams == (1..=streams.len() as u64).collect::<Vec<_>>()
    }
}

/// Guards against a control VM that answers after a restart as if it had known no stream.
#[tokio::test]
async fn restarted_service_knows_streams() {
    let files = MemoryFiles::default();
    let service = Arc::new(OriginService::default());
    let (journal, _) = open(&files, SystemTime::now());
    let task = tokio::spawn(Arc::clone(&service).run_journal(journal));
    service.record(reports("v1", &[7]), false);
    service.record(reports("v2", &[8]), true);
    let mut polls = interval(Duration::from_millis(10));
    let is_written = async {
        while streams_of(&open(&files, SystemTime::now()).1).len() < 2 {
            polls.tick().await;
        }
    };
    timeout(LONG_TIME, is_written).await.expect("reports and copies are written");
    task.abort();
    let restarted = OriginService::default();
    restarted.restore(Instant::now(), &open(&files, SystemTime::now()).1);
    for (stream, software) in [(7, "v1"), (8, "v2")] {
        let answer = restarted.answer(&"llm".to_owned(), stream);
        assert_eq!(answer.origin, Some(origin(software)));
        assert_eq!(answer.versions, VersionState::Unknown, "no list has named the service");
    }
}
