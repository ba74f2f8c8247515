//! The limit of a started server's leases, answer by answer, and where arbiters apply it.

use {
    oleandermount::{
        fleet::{ListedServer, ServerPhase},
        ids::{Incarnation, ServerId},
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, LeaseReport, MemoryDemand, ReadingDemand,
            SETTLE_TIME, ServerStart, SlotTable, StartAnswer, StartOutcome, StartPace,
            answer_lateness,
        },
        roles::slot_arbiter::SlotArbiter,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SLOTS: usize = 24;
/// Usual time of a request.
const USUAL: Duration = Duration::from_millis(300);

/// Sends `count` requests with `held` others, which are answered after the usual time.
fn answer(
    pace: &mut StartPace,
    now: &mut Instant,
    held: usize,
    outcome: StartOutcome,
    count: usize,
) {
    let sent = *now;
    *now += USUAL;
    for _ in 0..count {
        pace.record(*now, StartAnswer { sent, held, outcome }, SLOTS);
    }
}

/// Guards against a limit that falls while nothing is sent, or rises by requests that don't use it.
#[test]
fn idle_phase() {
    let mut now = Instant::now();
    let mut pace = StartPace::new(now, ServerStart::Fresh, SLOTS);
    answer(&mut pace, &mut now, 3, StartOutcome::OnTime, 3);
    assert_eq!(pace.limit(SLOTS), 6);
    now += Duration::from_secs(600);
    assert_eq!(pace.limit(SLOTS), 6);
    answer(&mut pace, &mut now, 2, StartOutcome::OnTime, 100);
    assert_eq!(pace.limit(SLOTS), 6, "two at a time don't show that it bears more than six");
    answer(&mut pace, &mut now, 6, StartOutcome::OnTime, 6);
    assert_eq!(pace.limit(SLOTS), 12);
}

/// Guards against answers that are late for nobody and limit a server, and late ones that don't because they
/// were predicted or nothing was.
#[test]
fn expected_answers() {
    let objective = Duration::from_millis(400);
    let outcome = |taken, predicted| {
        let [taken, predicted] = [taken, predicted].map(Duration::from_millis);
        StartOutcome::of_lateness(answer_lateness(taken, predicted, objective))
    };
    for (taken, predicted, expected) in [
        (150, 0, StartOutcome::OnTime),
        (150, 20, StartOutcome::OnTime),
        (250, 20, StartOutcome::Late),
        (250, 150, StartOutcome::OnTime),
        (350, 150, StartOutcome::Late),
        (450, 5_000, StartOutcome::Late),
    ] {
        assert_eq!(outcome(taken, predicted), expected, "{taken} ms, predicted {predicted} ms");
    }
}

/// Guards against answers to requests of before a change that lower the limit several times.
#[test]
fn late_answers() {
    let mut now = Instant::now();
    let mut pace = StartPace::new(now, ServerStart::Fresh, SLOTS);
    answer(&mut pace, &mut now, 3, StartOutcome::OnTime, 3);
    answer(&mut pace, &mut now, 6, StartOutcome::OnTime, 6);
    answer(&mut pace, &mut now, 12, StartOutcome::Late, 12);
    assert_eq!(pace.limit(SLOTS), 6, "it has borne six");
    answer(&mut pace, &mut now, 6, StartOutcome::Rejected, 6);
    assert_eq!(pace.limit(SLOTS), 3, "one step for all rejections");
    answer(&mut pace, &mut now, 3, StartOutcome::Rejected, 1);
    answer(&mut pace, &mut now, 1, StartOutcome::Rejected, 1);
    assert_eq!(pace.limit(SLOTS), 1);
    for limit in [2, 4, 8, 16] {
        answer(&mut pace, &mut now, SLOTS, StartOutcome::OnTime, (limit / 2).max(2));
        assert_eq!(pace.limit(SLOTS), limit);
    }
    answer(&mut pace, &mut now, SLOTS, StartOutcome::OnTime, 16);
    assert!(pace.is_ended());
}

/// Guards against leases of a former arbiter's holders that are taken for those of a started server.
#[test]
fn confirmed_use() {
    let now = Instant::now();
    let mut unknown = StartPace::new(now, ServerStart::Unknown, SLOTS);
    unknown.confirm_use(now);
    assert!(unknown.is_ended() && unknown.limit(SLOTS) == SLOTS);
    let mut fresh = StartPace::new(now, ServerStart::Fresh, SLOTS);
    fresh.confirm_use(now);
    assert!(!fresh.is_ended(), "the leases are of its former incarnation");
    assert!(StartPace::new(now, ServerStart::InUse, SLOTS).is_ended());
}

fn demand() -> LeaseDemand {
    LeaseDemand {
        patience: Duration::from_millis(800),
        memory: MemoryDemand::default(),
        reading: None,
    }
}

/// Requests leases from `first` on until one waits; returns those granted.
fn lease_all(table: &mut SlotTable, now: Instant, server: &ServerId, first: u64) -> Vec<u64> {
    let holder = "vm-2".to_owned();
    let mut is_granted =
        |lease| table.request(now, server, lease, &holder, demand()) == LeaseDecision::Granted;
    (first..first + 100).take_while(|lease| is_granted(*lease)).collect()
}

/// Guards against a table that leases all slots of a started server, or goes on to limit one whose answers
/// are on time.
#[test]
fn paced_table() {
    let (mut now, server) = (Instant::now(), "s".to_owned());
    let mut table = SlotTable::default();
    let assigned = ArbitratedServer { slots: SLOTS as u32, memory: None, had_arbiter: false };
    table.configure(now, [(server.clone(), assigned)].into());
    table.begin_pace(now, &server);
    assert_eq!(table.paced_servers(), 1);
    let mut held = lease_all(&mut table, now, &server, 0);
    assert_eq!(held.len(), 3);
    let on_time = LeaseReport { lateness: Some(1.6), ..LeaseReport::default() };
    for (first, limit) in [(100, 6), (200, 12), (300, SLOTS)] {
        now += USUAL;
        let mut granted = Vec::new();
        for lease in &held {
            granted.extend(table.record(now, &server, *lease, &on_time));
        }
        for lease in std::mem::take(&mut held) {
            granted.extend(table.end(now, &server, lease));
        }
        held.extend(granted);
        held.extend(lease_all(&mut table, now, &server, first));
        assert_eq!(held.len(), limit);
    }
    assert_eq!(table.paced_servers(), 0);
}

/// Guards against an arbiter that starts together with its server and takes it for one in use, and against
/// one that takes a server with leases of its former holders for a started one.
#[test]
fn suspected_start() {
    let server = "s".to_owned();
    let reading =
        ReadingDemand { urgency: 0, computed: 0, objective: 4 * USUAL, in_time: 4 * USUAL };
    let shared = LeaseDemand { reading: Some(reading), ..demand() };
    for (demand, held, limit) in [
        (shared.clone(), BTreeSet::new(), 3),
        (shared, BTreeSet::from([(server.clone(), 900)]), SLOTS - 1),
        (demand(), BTreeSet::new(), SLOTS),
    ] {
        let (now, holder) = (Instant::now(), "vm-2".to_owned());
        let mut table = SlotTable::default();
        let assigned = ArbitratedServer { slots: SLOTS as u32, memory: None, had_arbiter: true };
        table.configure(now, [(server.clone(), assigned)].into());
        table.suspect_start(&server);
        let early = table.request(now, &server, 800, &holder, demand);
        assert!(matches!(early, LeaseDecision::Refused(_)), "the arbiter settles");
        table.confirm(now, &holder, &held);
        assert_eq!(lease_all(&mut table, now + SETTLE_TIME, &server, 0).len(), limit);
    }
}

fn list(servers: &[(&str, Incarnation)]) -> BTreeMap<ServerId, ListedServer> {
    let servers = servers.iter().map(|(id, incarnation)| {
        let server = ListedServer {
            id: (*id).to_owned(),
            service: "app".to_owned(),
            address: "127.0.0.1:9".parse().expect("it is an address"),
            failure_domain: "d1".to_owned(),
            software: "v1".to_owned(),
            slots: SLOTS as u32,
            arbiter: Some("vm-1".to_owned()),
            phase: ServerPhase::Ready,
            incarnation: *incarnation,
            weights: BTreeMap::new(),
        };
        (server.id.clone(), server)
    });
    servers.collect()
}

/// The leases of a server that an arbiter grants at once.
async fn granted(arbiter: &Arc<SlotArbiter>, server: &str) -> usize {
    let mut granted = 0;
    for lease in 0..SLOTS as u64 {
        let lease =
            Arc::clone(arbiter).lease(server.to_owned(), lease, "vm-2".to_owned(), demand());
        tokio::pin!(lease);
        granted += usize::from(matches!(futures::poll!(&mut lease), std::task::Poll::Ready(Ok(_))));
    }
    granted
}

/// Guards against a pace of servers that are in use, or of services whose answers nobody compares with
/// predictions.
#[tokio::test]
async fn paced_services() {
    for (paced, leases) in [(BTreeSet::from(["app".to_owned()]), 3), (BTreeSet::new(), SLOTS)] {
        let (arbiter, own): (Arc<SlotArbiter>, _) = (Arc::default(), "vm-1".to_owned());
        arbiter.configure(&own, &list(&[]), |_| None);
        arbiter.configure(&own, &list(&[("a", 1), ("b", 1)]), |_| None);
        arbiter.pace_services(paced);
        arbiter.configure(&own, &list(&[("a", 1), ("b", 2), ("c", 1)]), |_| None);
        assert_eq!(granted(&arbiter, "a").await, SLOTS, "it was listed before");
        assert_eq!(granted(&arbiter, "b").await, leases, "it has restarted");
        assert_eq!(granted(&arbiter, "c").await, leases, "it is new");
    }
}
