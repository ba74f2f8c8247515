//! Benchmark of the control state: three replicas in one process on real folders, connected by
//! channels.
//!
//! `cargo run --release --example control_load [FOLDER]` prints commits a second and their latency,
//! the same for a loop that only syncs a file, recovery time by length of the log, and the resource
//! use of an idle replica. The folder must be on the disk to be measured; the default is `target`.

use {
    hdrhistogram::Histogram,
    oleandermount::{
        control::{
            Command, DurableWrite, LogEntry, ReplicaMessage, SavedState,
            entry::EntryPayload,
            replica::{Replica, ReplicaLimits, ReplicaSettings, ReplicaTiming},
        },
        daemon::control_driver::{ControlDriver, ControlHandle, DriverSettings},
        ids::VmId,
        storage::{DiskFiles, LogStore},
    },
    std::{
        collections::BTreeMap,
        error::Error,
        fs::{self, File},
        io::Write,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, task::JoinSet, time},
};

/// The duration of each load: long enough for some thousand syncs on a typical disk.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// The duration of the measurement of idle replicas: forty heartbeats.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The length of a log frame with one claim of the ledger, for the loop that only syncs.
const FRAME_BYTES: usize = 200;
const PROPOSERS: [usize; 4] = [1, 8, 64, 512];
const LOG_LENGTHS: [u64; 4] = [1_000, 4_000, 16_000, 64_000];
const NAMES: [&str; 3] = ["a", "b", "c"];

type MeasureResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Three replicas and the traffic between them.
struct MeasuredGroup {
    handles: BTreeMap<VmId, ControlHandle>,
    /// Bytes that all replicas have sent, in the transport's encoding.
    sent_bytes: Arc<AtomicU64>,
}

#[tokio::main]
async fn main() -> MeasureResult<()> {
    let folder = std::env::args().nth(1).map_or_else(|| PathBuf::from("target"), PathBuf::from);
    let folder = tempfile::tempdir_in(folder)?;
    println!("{:<34} {:>10} {:>10} {:>10}", "load", "a second", "p50 us", "p99 us");
    let (count, histogram) = sync_only(&folder.path().join("sync"))?;
    print_load("syncs of one file, nothing else", count, &histogram);
    let group = start_replicas(folder.path())?;
    let leader = wait_leader(&group).await?;
    for proposers in PROPOSERS {
        let (count, histogram) = commit_load(&leader, proposers).await?;
        print_load(&format!("commits, {proposers} proposers"), count, &histogram);
    }
    measure_idle(&group).await?;
    drop((leader, group));
    println!("\n{:<34} {:>10} {:>10}", "recovery of a log of", "bytes", "ms");
    for length in LOG_LENGTHS {
        measure_recovery(&folder.path().join(format!("log-{length}")), length)?;
    }
    println!("\nchange to in force everywhere: measured with whole daemons, not here");
    Ok(())
}

fn print_load(name: &str, count: u64, histogram: &Histogram<u64>) {
    let rate = count as f64 / LOAD_TIME.as_secs_f64();
    let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
    println!("{name:<34} {rate:>10.0} {p50:>10} {p99:>10}");
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn sync_only(path: &Path) -> MeasureResult<(u64, Histogram<u64>)> {
    let mut file = File::create(path)?;
    let mut histogram = Histogram::new(3)?;
    let end = Instant::now() + LOAD_TIME;
    while Instant::now() < end {
        let start = Instant::now();
        file.write_all(&[7; FRAME_BYTES])?;
        file.sync_data()?;
        histogram.record(micros(start))?;
    }
    Ok((histogram.len(), histogram))
}

fn start_replicas(folder: &Path) -> MeasureResult<MeasuredGroup> {
    let founders: Vec<VmId> = NAMES.iter().map(ToString::to_string).collect();
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let mut handles = BTreeMap::new();
    let mut queues = Vec::new();
    for vm in &founders {
        let (outbound, queue) = mpsc::channel(4096);
        let place = folder.join(format!("vm-{vm}"));
        let settings = DriverSettings::new(vm.clone(), founders.clone(), place, 1);
        handles.insert(vm.clone(), ControlDriver::start(settings, outbound)?);
        queues.push((vm.clone(), queue));
    }
    for (vm, queue) in queues {
        tokio::spawn(relay(vm, queue, handles.clone(), sent_bytes.clone()));
    }
    Ok(MeasuredGroup { handles, sent_bytes })
}

async fn relay(
    from: VmId,
    mut queue: mpsc::Receiver<(VmId, ReplicaMessage)>,
    handles: BTreeMap<VmId, ControlHandle>,
    sent_bytes: Arc<AtomicU64>,
) {
    while let Some((to, message)) = queue.recv().await {
        let length = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
        sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
        if let Some(handle) = handles.get(&to) {
            handle.deliver(from.clone(), message);
        }
    }
}

async fn wait_leader(group: &MeasuredGroup) -> MeasureResult<ControlHandle> {
    for _ in 0..400 {
        if let Some(handle) = group.handles.values().find(|handle| handle.lease_valid()) {
            return Ok(handle.clone());
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Err("no leader within 20 s; use a faster disk".into())
}

/// A claim of a call. The keys repeat, so that the ledger does not become full.
fn claim(number: u64) -> Command {
    Command::Reserve {
        organisation: "organisation-1".to_owned(),
        key: format!("a key of the usual length {:08}", number % 10_000),
        fingerprint: "f".repeat(64),
        holder: "a".to_owned(),
        incarnation: 1,
        attempt: u128::from(number),
        now_ms: 1,
    }
}

async fn commit_load(
    leader: &ControlHandle,
    proposers: usize,
) -> MeasureResult<(u64, Histogram<u64>)> {
    let end = Instant::now() + LOAD_TIME;
    let mut tasks = JoinSet::new();
    for proposer in 0..proposers {
        let leader = leader.clone();
        tasks.spawn(async move {
            let mut latencies = Vec::new();
            while Instant::now() < end {
                let start = Instant::now();
                let command = claim((proposer << 20) as u64 + latencies.len() as u64);
                leader.propose_local(command).await?;
                latencies.push(micros(start));
            }
            Ok::<_, Box<dyn Error + Send + Sync>>(latencies)
        });
    }
    let mut histogram = Histogram::new(3)?;
    while let Some(latencies) = tasks.join_next().await {
        for latency in latencies?? {
            histogram.record(latency)?;
        }
    }
    Ok((histogram.len(), histogram))
}

/// The processor time of all threads of this process.
fn processor_time() -> MeasureResult<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        nanos += text.split_whitespace().next().unwrap_or("0").parse::<u64>()?;
    }
    Ok(Duration::from_nanos(nanos))
}

async fn measure_idle(group: &MeasuredGroup) -> MeasureResult<()> {
    let (bytes, busy) = (group.sent_bytes.load(Ordering::Relaxed), processor_time()?);
    time::sleep(IDLE_TIME).await;
    let bytes = group.sent_bytes.load(Ordering::Relaxed) - bytes;
    let share = (processor_time()? - busy).as_secs_f64() / IDLE_TIME.as_secs_f64();
    let replicas = NAMES.len() as f64;
    println!("\none replica of three at rest, leader and followers alike on average");
    println!("{:<34} {:>9.3}%", "  processor time of a core", 100.0 * share / replicas);
    let rate = bytes as f64 / IDLE_TIME.as_secs_f64() / replicas;
    println!("{:<34} {rate:>10.0}", "  bytes sent a second");
    let status = fs::read_to_string("/proc/self/status")?;
    let resident = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    println!("  all three replicas in one process, {resident}");
    Ok(())
}

fn measure_recovery(folder: &Path, length: u64) -> MeasureResult<()> {
    let opened = LogStore::open(Box::new(DiskFiles::open(folder)?), 1)?;
    let mut store = opened.store;
    let entry = |index| {
        let payload = EntryPayload::Command(claim(index));
        LogEntry { term: 1, index, payload }
    };
    for first in (1..=length).step_by(100) {
        let entries = (first..first + 100).map(entry).collect();
        store.append(vec![DurableWrite::Entries(entries), DurableWrite::Commit(first + 99)])?;
    }
    drop(store);
    let bytes: u64 = fs::read_dir(folder)?
        .map(|entry| entry.and_then(|entry| entry.metadata()).map_or(0, |data| data.len()))
        .sum();
    let start = Instant::now();
    let opened = LogStore::open(Box::new(DiskFiles::open(folder)?), 2)?;
    let applied = replay(opened.state)?;
    let elapsed = start.elapsed().as_secs_f64() * 1000.0;
    println!("{:<34} {bytes:>10} {elapsed:>10.1}", format!("  {applied} entries"));
    Ok(())
}

fn replay(saved: SavedState) -> MeasureResult<u64> {
    let settings = ReplicaSettings {
        vm: "a".to_owned(),
        founders: std::iter::once("a".to_owned()).collect(),
        seed: 1,
        timing: ReplicaTiming::default(),
        limits: ReplicaLimits::default(),
    };
    let now = Instant::now();
    Ok(Replica::new(settings, saved, now)?.status(now).applied)
}
