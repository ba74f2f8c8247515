//! Leases of the slots of servers that must not be overrun, by hundreds of daemons.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        ids::{LeaseId, ServerId, VmId},
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, LeaseRefusal, MAX_PARTS, MAX_SERVERS,
            MemoryDemand, SETTLE_TIME, SlotTable, choose_arbiter, choose_servers,
        },
        transport::{PeerMessage, PeerReply, PeerRequest},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::{Duration, Instant},
    },
};

const RUN_TIME: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_secs(20);
const TRIES: usize = 3;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn assigned(slots: u32, had_arbiter: bool) -> ArbitratedServer {
    ArbitratedServer { slots, memory: None, had_arbiter }
}

/// What a request to a plain service asks of an arbiter.
fn demand(patience: Duration) -> LeaseDemand {
    LeaseDemand { patience, memory: MemoryDemand::default(), reading: None }
}

/// A table with one server of `slots` slots.
fn table(now: Instant, slots: u32, had_arbiter: bool) -> SlotTable {
    let mut table = SlotTable::default();
    table.configure(now, [("s".to_owned(), assigned(slots, had_arbiter))].into());
    table
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrive {
        entry: usize,
    },
    GiveUp {
        request: LeaseId,
    },
    End {
        request: LeaseId,
    },
    /// A fifth of the entries is gone.
    Lose,
    /// The list names other arbiters for the servers of the lost ones.
    Reassign,
}

struct FleetRequest {
    entry: usize,
    server: usize,
    tries: usize,
    is_running: bool,
}

/// Daemons with their tables, servers, and requests in virtual time. Messages take no time.
struct LeaseFleet {
    servers: Vec<ServerId>,
    chosen: Vec<Vec<usize>>,
    arbiters: Vec<usize>,
    tables: Vec<SlotTable>,
    lost: BTreeSet<usize>,
    running: Vec<u32>,
    requests: BTreeMap<LeaseId, FleetRequest>,
    events: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    random: Xoshiro256PlusPlus,
    next: u64,
    slots: u32,
    /// Requests, and those that ran, by entry.
    asked: Vec<u32>,
    ran: Vec<u32>,
    most_running: u32,
}

impl LeaseFleet {
    fn new(now: Instant, entries: usize, servers: usize, slots: u32, seed: u64) -> Self {
        let names: Vec<VmId> = (0..entries).map(|entry| format!("vm-{entry}")).collect();
        let servers: Vec<ServerId> = (0..servers).map(|server| format!("i-{server}")).collect();
        let position = |id: &ServerId| servers.iter().position(|server| server == id).unwrap();
        let chosen = names
            .iter()
            .map(|name| choose_servers(name, &servers).iter().map(position).collect::<Vec<_>>());
        let chosen = chosen.collect();
        let mut fleet = LeaseFleet {
            chosen,
            arbiters: Vec::new(),
            tables: vec![SlotTable::default(); entries],
            lost: BTreeSet::new(),
            running: vec![0; servers.len()],
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            next: 0,
            slots,
            asked: vec![0; entries],
            ran: vec![0; entries],
            most_running: 0,
            servers,
        };
        fleet.assign(now);
        fleet
    }

    fn assign(&mut self, now: Instant) {
        let names: Vec<VmId> = (0..self.tables.len()).map(|entry| format!("vm-{entry}")).collect();
        let present = || names.iter().enumerate().filter(|(entry, _)| !self.lost.contains(entry));
        let arbiters = self.servers.iter().map(|server| {
            let chosen = choose_arbiter(server, present().map(|(_, name)| name)).unwrap();
            names.iter().position(|name| name == chosen).unwrap()
        });
        let arbiters: Vec<usize> = arbiters.collect();
        let had_arbiter = !self.arbiters.is_empty();
        for (entry, table) in self.tables.iter_mut().enumerate() {
            let own = arbiters.iter().enumerate().filter(|(_, arbiter)| **arbiter == entry);
            let own = own.map(|(server, _)| {
                (self.servers[server].clone(), assigned(self.slots, had_arbiter))
            });
            table.configure(now, own.collect());
        }
        self.arbiters = arbiters;
    }

    fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn schedule(&mut self, at: Instant, event: FleetEvent) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    /// Runs the fleet at a load, as a part of what the servers can run; returns the part of the
    /// requests that ran.
    fn run(&mut self, began: Instant, load: f64) -> f64 {
        let capacity = self.servers.len() as f64 * f64::from(self.slots) / RUN_TIME.as_secs_f64();
        // Entries get requests in proportion to 1, 2 and 3.
        let total: f64 = (0..self.tables.len()).map(|entry| (1 + entry % 3) as f64).sum();
        let rates: Vec<f64> = (0..self.tables.len())
            .map(|entry| capacity * load * (1 + entry % 3) as f64 / total)
            .collect();
        for entry in 0..self.tables.len() {
            self.schedule(began, FleetEvent::Arrive { entry });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > began + LENGTH {
                break;
            }
            match event {
                FleetEvent::Arrive { entry } => {
                    let gap = -(1.0 - self.unit()).ln() / rates[entry];
                    self.schedule(now + seconds(gap), event);
                    if !self.lost.contains(&entry) {
                        self.asked[entry] += 1;
                        self.ask(now, entry, 0);
                    }
                }
                FleetEvent::GiveUp { request } => {
                    if self.requests.get(&request).is_some_and(|known| !known.is_running) {
                        self.end(now, request);
                    }
                }
                FleetEvent::End { request } => self.end(now, request),
                FleetEvent::Lose => {
                    self.lost.extend((0..self.tables.len()).filter(|entry| entry % 5 == 0));
                    let lost: Vec<LeaseId> = self
                        .requests
                        .iter()
                        .filter(|(_, request)| self.lost.contains(&request.entry))
                        .map(|(id, _)| *id)
                        .collect();
                    lost.into_iter().for_each(|request| self.forget(request));
                }
                FleetEvent::Reassign => self.assign(now),
            }
        }
        let (ran, asked) = (self.ran.iter().sum::<u32>(), self.asked.iter().sum::<u32>());
        f64::from(ran) / f64::from(asked)
    }

    fn ask(&mut self, now: Instant, entry: usize, tries: usize) {
        let chosen = &self.chosen[entry];
        let server = chosen[(self.random.next_u64() % chosen.len() as u64) as usize];
        let (request, arbiter) = (self.random.next_u64(), self.arbiters[server]);
        if self.lost.contains(&arbiter) {
            return;
        }
        let (name, holder) = (self.servers[server].clone(), format!("vm-{entry}"));
        let decision = self.tables[arbiter].request(now, &name, request, &holder, demand(PATIENCE));
        if decision != LeaseDecision::Waiting && decision != LeaseDecision::Granted {
            if tries + 1 < TRIES {
                self.ask(now, entry, tries + 1);
            }
            return;
        }
        self.requests.insert(request, FleetRequest { entry, server, tries, is_running: false });
        match decision {
            LeaseDecision::Granted => self.begin(now, request),
            _ => self.schedule(now + PATIENCE, FleetEvent::GiveUp { request }),
        }
    }

    fn begin(&mut self, now: Instant, request: LeaseId) {
        let Some(known) = self.requests.get_mut(&request) else { return };
        known.is_running = true;
        let (entry, server) = (known.entry, known.server);
        self.ran[entry] += 1;
        self.running[server] += 1;
        self.most_running = self.most_running.max(self.running[server]);
        let length = RUN_TIME.mul_f64(0.5 + self.unit());
        self.schedule(now + length, FleetEvent::End { request });
    }

    fn forget(&mut self, request: LeaseId) {
        if let Some(known) = self.requests.remove(&request)
            && known.is_running
        {
            self.running[known.server] -= 1;
        }
    }

    fn end(&mut self, now: Instant, request: LeaseId) {
        let Some(known) = self.requests.get(&request) else { return };
        let (server, entry, tries) = (known.server, known.entry, known.tries);
        let was_waiting = !known.is_running;
        self.forget(request);
        let arbiter = self.arbiters[server];
        if !self.lost.contains(&arbiter) {
            let name = self.servers[server].clone();
            let granted = self.tables[arbiter].end(now, &name, request);
            granted.into_iter().for_each(|request| self.begin(now, request));
        }
        if was_waiting && tries + 1 < TRIES {
            self.ask(now, entry, tries + 1);
        }
    }
}

/// Guards against servers that hundreds of daemons overrun together, and against a service that is given
/// up to prevent that.
#[test]
fn no_server_is_overrun() {
    for (entries, servers, slots) in [(6, 24, 4), (67, 4, 6), (67, 140, 12), (295, 320, 12)] {
        for (load, least) in [(0.4, 0.95), (0.85, 0.93), (1.6, 0.58)] {
            let now = Instant::now();
            let mut fleet = LeaseFleet::new(now, entries, servers, slots, 7);
            let ran = fleet.run(now, load);
            assert!(fleet.most_running <= slots, "{entries} entries: {}", fleet.most_running);
            assert!(ran >= least, "{entries} entries, load {load}: {ran}");
            let shares = fleet.ran.iter().zip(&fleet.asked);
            let least_share = shares.map(|(ran, asked)| f64::from(*ran) / f64::from(*asked));
            let least_share = least_share.fold(1.0, f64::min);
            assert!(least_share >= ran / 3.0, "{entries} entries, load {load}: {least_share}");
        }
    }
}

/// Guards against two arbiters that lease the same slots, and against servers without any, when a fifth
/// of the daemons is lost.
#[test]
fn lost_arbiters_are_replaced() {
    for (entries, servers, slots) in [(67, 4, 6), (295, 320, 12)] {
        let now = Instant::now();
        let mut fleet = LeaseFleet::new(now, entries, servers, slots, 8);
        fleet.schedule(now + seconds(4.0), FleetEvent::Lose);
        fleet.schedule(now + seconds(10.0), FleetEvent::Reassign);
        let ran = fleet.run(now, 0.5);
        assert!(fleet.most_running <= slots, "{entries} entries: {}", fleet.most_running);
        assert!(ran >= 0.6, "{entries} entries: {ran}");
    }
}

/// Guards against a returning server that all waiting requests reach at once.
#[test]
fn waiting_requests_come_in_turn() {
    let now = Instant::now();
    let mut table = table(now, 4, false);
    let server = "s".to_owned();
    let decisions: Vec<LeaseDecision> = (0..100)
        .map(|lease| {
            table.request(now, &server, lease, &format!("vm-{lease}"), demand(seconds(2.0)))
        })
        .collect();
    let count = |wanted| decisions.iter().filter(|decision| **decision == wanted).count();
    assert_eq!(count(LeaseDecision::Granted), 4);
    assert!(count(LeaseDecision::Waiting) < 20, "{decisions:?}");
    assert_eq!(table.end(now + seconds(0.1), &server, 2), [4]);
    assert_eq!(table.leases(&server), 4);
}

/// What does not become free in time is refused at once, with the time until it may.
#[test]
fn late_slots_are_refused() {
    let now = Instant::now();
    let (mut table, server) = (table(now, 1, false), "s".to_owned());
    let mut request = |lease, patience| {
        table.request(now, &server, lease, &"vm".to_owned(), demand(seconds(patience)))
    };
    assert_eq!(request(1, 0.3), LeaseDecision::Granted);
    assert_eq!(request(2, 0.3), LeaseDecision::Refused(LeaseRefusal::Full(seconds(0.5))));
    assert_eq!(request(3, 1.0), LeaseDecision::Waiting);
    assert_eq!(request(4, 1.0), LeaseDecision::Refused(LeaseRefusal::Full(seconds(1.0))));
}

/// Guards against slots that stay leased after their holder has ended or a message was lost.
#[test]
fn unconfirmed_leases_end() {
    let now = Instant::now();
    let (mut table, server) = (table(now, 2, false), "s".to_owned());
    let (first, second) = ("vm-1".to_owned(), "vm-2".to_owned());
    table.request(now, &server, 1, &first, demand(seconds(1.0)));
    table.request(now, &server, 2, &second, demand(seconds(1.0)));
    let held = BTreeSet::from([(server.clone(), 2)]);
    table.confirm(now + seconds(3.0), &second, &held);
    table.expire(now + seconds(4.5));
    assert_eq!(table.leases(&server), 1, "the first holder confirms nothing");
    table.confirm(now + seconds(5.0), &second, &BTreeSet::new());
    assert_eq!(table.leases(&server), 0, "the second one has ended its lease");
}

/// Guards against a restarted arbiter that leases slots that are in use.
#[test]
fn new_arbiter_learns_leases() {
    let now = Instant::now();
    let (mut table, server) = (table(now, 2, true), "s".to_owned());
    let holder = "vm-1".to_owned();
    let refused = table.request(now, &server, 9, &holder, demand(seconds(1.0)));
    assert_eq!(refused, LeaseDecision::Refused(LeaseRefusal::Full(SETTLE_TIME)));
    let held = BTreeSet::from([(server.clone(), 1)]);
    table.confirm(now + seconds(1.0), &holder, &held);
    let later = now + SETTLE_TIME;
    assert_eq!(
        table.request(later, &server, 2, &holder, demand(seconds(0.1))),
        LeaseDecision::Granted
    );
    let third = table.request(later, &server, 3, &holder, demand(seconds(0.1)));
    assert!(matches!(third, LeaseDecision::Refused(_)), "{third:?}");
}

/// Each daemon uses few servers of many and so asks few arbiters, and all servers are used.
#[test]
fn daemons_use_few_servers() {
    let servers: Vec<ServerId> = (0..320).map(|server| format!("i-{server}")).collect();
    let mut users: BTreeMap<ServerId, u32> = BTreeMap::new();
    for entry in 0..295 {
        let chosen = choose_servers(&format!("vm-{entry}"), &servers);
        assert_eq!(chosen.len(), MAX_SERVERS);
        chosen.into_iter().for_each(|server| *users.entry(server).or_default() += 1);
    }
    assert_eq!(users.len(), servers.len());
    assert!(users.values().all(|count| *count <= 32), "{:?}", users.values().max());
}

/// Each request takes a question, an answer and the end of its lease while slots are leased.
#[test]
fn lease_messages_are_small() {
    let server = "i-7f3a91c2aa".to_owned();
    let lease = u64::MAX;
    let question =
        PeerRequest::LeaseSlot { server: server.clone(), lease, demand: demand(PATIENCE) };
    let parts = vec![(u64::MAX, u32::MAX); MAX_PARTS];
    let memory = MemoryDemand { parts, own_tokens: u32::MAX };
    let longest = LeaseDemand { memory, ..demand(PATIENCE) };
    let longest = PeerRequest::LeaseSlot { server: server.clone(), lease, demand: longest };
    let answer = PeerReply::SlotLeased(Err(LeaseRefusal::Full(PATIENCE)));
    let end = PeerMessage::EndLease { server, lease, report: None };
    let lengths = [
        postcard::to_stdvec(&question).unwrap().len(),
        postcard::to_stdvec(&answer).unwrap().len(),
        postcard::to_stdvec(&end).unwrap().len(),
    ];
    assert!(lengths.iter().sum::<usize>() <= 70, "{lengths:?}");
    let longest = postcard::to_stdvec(&longest).unwrap().len();
    assert!(longest <= lengths[0] + 4 + 15 * MAX_PARTS, "{longest}");
}
