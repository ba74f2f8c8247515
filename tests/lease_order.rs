//! The order in which requests get leases of a server that shares its machine with others.

use {
    oleandermount::{
        ids::{LeaseId, ServerId},
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, LeaseGrant, LeaseRefusal, LeaseReport,
            LeasedLoad, MemoryDemand, ReadingDemand, SlotTable,
        },
        transport::{PeerMessage, PeerReply, PeerRequest},
    },
    std::time::{Duration, Instant},
};

const SHORT: u8 = 0;
const LONG: u8 = 4;
const READ: LeaseReport = LeaseReport { lateness: None, work_time: None, is_read: true };

/// A server whose arbiter knows that it reads ten tokens in a millisecond.
struct OneServer {
    now: Instant,
    name: ServerId,
    table: SlotTable,
}

impl OneServer {
    fn new(slots: u32) -> Self {
        let (now, name) = (Instant::now(), "s".to_owned());
        let arbitrated = ArbitratedServer { slots, memory: None, had_arbiter: false };
        let mut table = SlotTable::default();
        table.configure(now, [(name.clone(), arbitrated)].into());
        let mut server = OneServer { now, name, table };
        server.request(1_000_000, LONG, 4_000);
        server.now += Duration::from_millis(400);
        server.table.record(server.now, &server.name, 1_000_000, &READ);
        server.end(1_000_000);
        server
    }

    fn request(&mut self, lease: LeaseId, urgency: u8, computed: u32) -> LeaseDecision {
        let objective = Duration::from_millis(if urgency == SHORT { 400 } else { 1_000 });
        let reading = ReadingDemand { urgency, computed, objective, in_time: objective };
        // The caller waits for as long as it takes.
        let patience = Duration::from_secs(600);
        let memory = MemoryDemand::default();
        let demand = LeaseDemand { patience, memory, reading: Some(reading) };
        self.table.request(self.now, &self.name, lease, &"vm".to_owned(), demand)
    }

    fn end(&mut self, lease: LeaseId) -> Vec<LeaseId> {
        self.table.end(self.now, &self.name, lease)
    }
}

/// Guards against short requests that wait behind long ones, and against long ones that never get a slot.
#[test]
fn classes_take_turns() {
    let mut server = OneServer::new(1);
    assert_eq!(server.request(1, SHORT, 0), LeaseDecision::Granted);
    assert_eq!(server.request(100, LONG, 0), LeaseDecision::Waiting);
    for lease in 2..20 {
        assert_eq!(server.request(lease, SHORT, 0), LeaseDecision::Waiting);
    }
    let mut order = vec![1];
    while let [next] = server.end(*order.last().expect("it is not empty"))[..] {
        order.push(next);
    }
    let turn = order.iter().position(|lease| *lease == 100);
    assert!(turn.is_some_and(|turn| (2..=10).contains(&turn)), "{order:?}");
    assert_eq!(order.len(), 20, "{order:?}");
}

/// Guards against running streams that pause, and short requests that wait, while an engine reads several
/// long prompts.
#[test]
fn long_prompts_are_read_in_turn() {
    let mut server = OneServer::new(8);
    assert_eq!(server.request(1, SHORT, 100), LeaseDecision::Granted);
    assert_eq!(server.request(2, LONG, 1_500), LeaseDecision::Granted);
    assert_eq!(server.request(3, LONG, 1_500), LeaseDecision::Waiting);
    assert_eq!(server.request(4, SHORT, 100), LeaseDecision::Granted, "it is read before");
    let granted = server.table.record(server.now, &server.name, 2, &READ);
    assert_eq!(granted, [3]);
    assert_eq!(server.table.leases(&server.name), 4);
}

/// Guards against prompts that count as unread for ever because the message of their first token was lost.
#[test]
fn lost_message_frees_reader() {
    let mut server = OneServer::new(8);
    assert_eq!(server.request(2, LONG, 6_000), LeaseDecision::Granted);
    assert_eq!(server.request(3, LONG, 6_000), LeaseDecision::Waiting);
    let later = server.now + Duration::from_secs(3);
    assert_eq!(server.table.expire(later), [3]);
}

/// What a request at a shared machine sends beside those of other servers is small.
#[test]
fn load_messages_are_small() {
    let (server, lease) = ("i-7f3a91c2aa".to_owned(), u64::MAX);
    let objective = Duration::from_millis(1_234);
    let reading = ReadingDemand { urgency: LONG, computed: 100_000, objective, in_time: objective };
    let memory = MemoryDemand::default();
    let demand = LeaseDemand { patience: objective, memory, reading: Some(reading) };
    let load =
        LeasedLoad { running: 40, tokens_ahead: 100_000, work_time: Some(1.5), pace: Some(0.5) };
    let report = LeaseReport { lateness: Some(1.5), work_time: Some(1.5), is_read: true };
    let lengths = [
        postcard::to_stdvec(&PeerRequest::LeaseSlot { server: server.clone(), lease, demand }),
        postcard::to_stdvec(&PeerReply::SlotLeased(Ok(LeaseGrant { load: Some(load) }))),
        postcard::to_stdvec(&PeerMessage::LeaseProgress { server: server.clone(), lease, report }),
        postcard::to_stdvec(&PeerMessage::EndLease { server, lease, report: None }),
    ];
    let lengths = lengths.map(|bytes| bytes.expect("it can be encoded").len());
    assert!(lengths.iter().sum::<usize>() <= 160, "{lengths:?}");
}

/// Guards against urgent requests that are refused because less urgent ones fill the list.
#[test]
fn least_urgent_is_displaced() {
    let mut server = OneServer::new(1);
    assert_eq!(server.request(1, SHORT, 0), LeaseDecision::Granted);
    let mut waiting = Vec::new();
    for lease in 100.. {
        match server.request(lease, LONG, 0) {
            LeaseDecision::Waiting => waiting.push(lease),
            decision => {
                assert!(matches!(decision, LeaseDecision::Refused(LeaseRefusal::Busy { .. })));
                break;
            }
        }
    }
    assert_eq!(server.request(2, SHORT, 0), LeaseDecision::Waiting);
    let displaced = server.table.take_displaced();
    assert_eq!(displaced.len(), 1);
    assert_eq!(Some(&displaced[0].0), waiting.last());
    assert_eq!(server.end(1), [2]);
}
