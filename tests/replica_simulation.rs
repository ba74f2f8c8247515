//! Randomised simulation of a group of replicas, checked against the invariants of the log and of
//! the ledger.
//!
//! `REPLICA_SEED=N cargo test --test replica_simulation` runs one seed, `REPLICA_SEEDS=N` that
//! many.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::{
        control::{
            Command, CommandOutcome, KeptAnswer,
            replica::{LocalProposeError, ReplicaRole, ReplicaTiming},
        },
        ids::{AttemptId, Incarnation, Revision, VmId},
    },
    replica_group::{NO_FAULTS, NetworkFaults, ReplicaGroup},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of seeds of each CI run.
const SEEDS: u64 = 40;
const KEYS: u64 = 12;
const STEPS: u64 = 400;
const FAST: ReplicaTiming = ReplicaTiming {
    heartbeat: Duration::from_millis(30),
    election: Duration::from_millis(120),
    lease: Duration::from_millis(90),
    probe: Duration::from_millis(100),
};

/// Attempt of a daemon to execute a call once.
#[derive(Clone)]
struct CallAttempt {
    key: u64,
    holder: u64,
    incarnation: Incarnation,
    attempt: AttemptId,
    /// Pending proposal and its purpose.
    waiting: Option<(u64, CallStep)>,
    sent: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum CallStep {
    Reserve,
    Release,
    Close,
}

/// Daemons that make calls, and operators that change the configuration and repair the group.
struct CallerSimulation {
    incarnations: BTreeMap<u64, Incarnation>,
    attempts: Vec<CallAttempt>,
    runs: BTreeMap<u64, u32>,
    applied: BTreeMap<Revision, String>,
    changes: Vec<(u64, String)>,
}

fn register(name: u64) -> String {
    format!(r#"{{"failure_domains":[{{"id":"domain-{name}"}}]}}"#)
}

impl CallerSimulation {
    fn step(&mut self, group: &mut ReplicaGroup) {
        match group.random_below(10) {
            0..4 => self.new_attempt(group),
            4..6 => self.change_config(group),
            6 => {
                let holder = group.random_below(3);
                *self.incarnations.entry(holder).or_insert(1) += 1;
            }
            _ => {}
        }
        self.collect(group);
    }

    fn new_attempt(&mut self, group: &mut ReplicaGroup) {
        let holder = group.random_below(3);
        let attempt = self.attempts.len() as AttemptId + 1;
        let incarnation = *self.incarnations.entry(holder).or_insert(1);
        let key = group.random_below(KEYS);
        let mut call =
            CallAttempt { key, holder, incarnation, attempt, waiting: None, sent: false };
        call.propose(group, CallStep::Reserve);
        self.attempts.push(call);
    }

    fn change_config(&mut self, group: &mut ReplicaGroup) {
        let name = group.random_below(1_000_000);
        let expected = group.nodes.values().filter_map(|node| node.replica.as_ref());
        let expected = expected.map(|replica| replica.config().revision).max().unwrap_or(0);
        let operation = format!("change-{name}");
        let body = register(name);
        let command = Command::ApplyRegister { operation, expected, body: body.clone() };
        let vm = some_vm(group);
        self.changes.push((group.propose(&vm, command), body));
    }

    /// Continues each call whose proposal has an outcome. A daemon sends the call if its claim was
    /// granted in its current incarnation, and otherwise releases the claim.
    fn collect(&mut self, group: &mut ReplicaGroup) {
        for call in &mut self.attempts {
            let Some((proposal, step)) = call.waiting else { continue };
            let Some(outcome) = group.outcomes.get(&proposal).cloned() else { continue };
            call.waiting = None;
            let is_current = self.incarnations.get(&call.holder) == Some(&call.incarnation);
            match (step, outcome) {
                (CallStep::Reserve, Ok(CommandOutcome::Reserved)) if is_current && !call.sent => {
                    if group.random_below(4) > 0 {
                        call.sent = true;
                        *self.runs.entry(call.key).or_default() += 1;
                        call.propose(group, CallStep::Close);
                    } else {
                        call.propose(group, CallStep::Release);
                    }
                }
                (
                    _,
                    Err(LocalProposeError::OutcomeUnknown | LocalProposeError::NotLeader { .. }),
                ) if is_current && group.random_below(4) > 0 => {
                    call.propose(group, step);
                }
                _ => {}
            }
        }
        assert!(self.runs.values().all(|runs| *runs <= 1), "a call ran twice: {:?}", self.runs);
        self.changes.retain(|(proposal, body)| match group.outcomes.get(proposal) {
            Some(Ok(CommandOutcome::Applied { revision })) => {
                let winner = self.applied.insert(*revision, body.clone());
                assert!(winner.is_none(), "two changes got revision {revision}");
                false
            }
            outcome => outcome.is_none(),
        });
    }
}

impl CallAttempt {
    fn propose(&mut self, group: &mut ReplicaGroup, step: CallStep) {
        let (organisation, key) = ("baskets".to_owned(), format!("key-{}", self.key));
        let (holder, incarnation) = (format!("entry-{}", self.holder), self.incarnation);
        let attempt = self.attempt;
        let answer = KeptAnswer { status: 200, content_type: String::new(), body: vec![7; 40] };
        let command = match step {
            CallStep::Reserve => Command::Reserve {
                organisation,
                key,
                fingerprint: "same".to_owned(),
                holder,
                incarnation,
                attempt,
                now_ms: 1,
            },
            CallStep::Release => {
                Command::Release { organisation, key, holder, incarnation, attempt }
            }
            CallStep::Close if self.attempt.is_multiple_of(3) => {
                Command::MarkUnknown { organisation, key, holder, incarnation, attempt }
            }
            CallStep::Close => {
                Command::Finish { organisation, key, holder, incarnation, attempt, answer }
            }
        };
        let vm = some_vm(group);
        self.waiting = Some((group.propose(&vm, command), step));
    }
}

/// Returns the leader in about half of the cases, otherwise any VM.
fn some_vm(group: &mut ReplicaGroup) -> VmId {
    let count = group.nodes.len() as u64;
    let other = group.random_below(count) as usize;
    let other = group.nodes.keys().nth(other).cloned().expect("there are nodes");
    if group.random_below(2) == 0 { other } else { group.leader().unwrap_or(other) }
}

fn inject_fault(group: &mut ReplicaGroup) {
    let vm = some_vm(group);
    match group.random_below(18) {
        0 => group.crash(&vm),
        12 | 13 => {
            group.crash(&vm);
            group.start(&vm);
        }
        14 | 15 => isolate_and_restart(group, &vm),
        16 if group.is_intact() => {
            if let Some(leader) = group.leader() {
                group.propose(&leader, Command::RemoveReplica { vm });
            }
        }
        17 => {
            let pause = Duration::from_millis([3, 40, 150][group.random_below(3) as usize]);
            group.nodes.get_mut(&vm).expect("it is one of them").slowest_sync = pause;
        }
        1 | 2 => group.start(&vm),
        3 => {
            let pause = Duration::from_millis(group.random_below(5000));
            group.pause(&vm, pause);
        }
        // One disk at a time: without a quorum of disks no protocol can make progress.
        4 if group.is_intact() => {
            group.crash(&vm);
            group.lose_disk(&vm);
            group.start(&vm);
        }
        5 => partition(group, &vm),
        6 | 7 => group.blocked_links.clear(),
        8 => {
            let delay = Duration::from_millis([2, 20, 60, 400][group.random_below(4) as usize]);
            let drop = [0, 5, 25][group.random_below(3) as usize];
            group.faults = NetworkFaults { drop, duplicate: drop, delay };
        }
        _ => repair(group),
    }
}

/// Isolates one replica from the leader. It becomes a candidate just when the replicas whose votes
/// it requests have lost, by a restart, the time of their last contact with the leader.
fn isolate_and_restart(group: &mut ReplicaGroup, vm: &VmId) {
    let Some(leader) = group.leader().filter(|leader| leader != vm) else { return };
    group.blocked_links.insert((leader.clone(), vm.clone()));
    group.blocked_links.insert((vm.clone(), leader.clone()));
    for _ in 0..6 {
        let pause =
            Duration::from_millis(group.random_below(group.timing.election.as_millis() as u64));
        group.run_for(pause);
        for other in group.nodes.keys().cloned().collect::<Vec<_>>() {
            if other != leader && other != *vm && group.nodes[&other].replica.is_some() {
                group.crash(&other);
                group.start(&other);
            }
        }
    }
}

/// Partitions one replica, in one direction or in both.
fn partition(group: &mut ReplicaGroup, vm: &VmId) {
    let ways = group.random_below(3);
    for other in group.nodes.keys().filter(|other| *other != vm).cloned().collect::<Vec<_>>() {
        if ways != 0 {
            group.blocked_links.insert((vm.clone(), other.clone()));
        }
        if ways != 1 {
            group.blocked_links.insert((other, vm.clone()));
        }
    }
}

/// Adds each disk that is not the one named in the membership.
fn repair(group: &mut ReplicaGroup) {
    let (Some(leader), Some(membership)) = (group.leader(), group.membership()) else { return };
    let is_not_member = |(vm, node): (&VmId, &replica_group::GroupNode)| {
        (!membership.is_member(vm, node.disk.incarnation)).then(|| vm.clone())
    };
    for vm in group.nodes.iter().filter_map(is_not_member).collect::<Vec<_>>() {
        group.propose(&leader, Command::ReplaceReplica { vm, incarnation: None });
    }
}

fn is_repaired(group: &ReplicaGroup) -> bool {
    let all: Vec<_> = group.nodes.values().filter_map(|node| node.replica.as_ref()).collect();
    let status = |index: usize| all[index].status(group.now);
    group.leader().is_some()
        && (0..all.len()).all(|index| {
            matches!(status(index).role, ReplicaRole::Leader | ReplicaRole::Follower)
                && status(index).applied == status(0).last
                && all[index].state() == all[0].state()
                && all[index].config() == all[0].state().configuration().active()
        })
}

/// Runs one seed; returns the last acknowledged revision.
fn run_seed(seed: u64) -> Revision {
    let names = if seed % 3 == 2 { &["a", "b", "c", "d", "e"][..] } else { &["a", "b", "c"][..] };
    // Some groups have elections so fast that leaders follow each other within one step.
    let timing = if seed % 4 < 2 { ReplicaTiming::default() } else { FAST };
    let mut group = ReplicaGroup::timed(names, seed, timing);
    let mut callers = CallerSimulation {
        incarnations: BTreeMap::new(),
        attempts: Vec::new(),
        runs: BTreeMap::new(),
        applied: BTreeMap::new(),
        changes: Vec::new(),
    };
    if seed.is_multiple_of(2) {
        assert!(
            group.run_until(Duration::from_secs(30), is_repaired),
            "seed {seed}: no group forms"
        );
    }
    for _ in 0..STEPS {
        let pause = Duration::from_millis(group.random_below(300));
        group.run_for(pause);
        callers.step(&mut group);
        // Faults follow within a few milliseconds of the proposals, so that their entries are in
        // transit.
        let pause = Duration::from_micros(group.random_below(12_000));
        group.run_for(pause);
        if group.random_below(5) == 0 {
            inject_fault(&mut group);
        }
    }
    recover(&mut group, seed);
    callers.collect(&mut group);
    let revision = group.nodes.values().next().and_then(|node| node.replica.as_ref());
    let revision = revision.expect("all run").config().revision;
    let acknowledged = callers.applied.keys().next_back().copied().unwrap_or(0);
    assert!(revision >= acknowledged, "seed {seed}: an acknowledged change is lost");
    acknowledged
}

/// Ends all faults and waits until the group is repaired.
fn recover(group: &mut ReplicaGroup, seed: u64) {
    (group.faults, group.blocked_links) = (NO_FAULTS, Default::default());
    for vm in group.nodes.keys().cloned().collect::<Vec<_>>() {
        group.start(&vm);
    }
    let recovered = (0..60).any(|_| {
        repair(group);
        group.run_until(Duration::from_secs(1), is_repaired)
    });
    let roles: Vec<_> = group.nodes.values().filter_map(|node| node.replica.as_ref()).collect();
    let roles: Vec<_> = roles.iter().map(|replica| replica.status(group.now)).collect();
    assert!(recovered, "seed {seed}: the group is not repaired: {roles:#?}");
}

/// A non-repeatable call is executed at most once and an accepted configuration is kept under any
/// faults of the control replicas. In each run messages are lost, duplicated and delayed, and
/// replicas crash, pause, are partitioned in one or both directions and return with empty disks,
/// while daemons claim calls and operators change the configuration.
#[test]
fn random_faults_keep_invariants() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("REPLICA_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("REPLICA_SEEDS").unwrap_or(SEEDS)).collect(),
    };
    let acknowledged: Vec<Revision> = seeds.iter().map(|seed| run_seed(*seed)).collect();
    let idle = acknowledged.iter().filter(|revision| **revision == 0).count();
    assert!(
        idle * 10 <= acknowledged.len(),
        "{idle} of {} runs changed nothing",
        acknowledged.len()
    );
}
