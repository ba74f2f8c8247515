//! Randomised runs of a group of replicas against the invariants of the log and of the ledger.
//! `REPLICA_SEED=N cargo test --test replica_simulation` runs one seed, `REPLICA_SEEDS=N` that many.

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
    replica_group::{CALM, ReplicaGroup, WireFaults},
    std::{collections::BTreeMap, time::Duration},
};

/// Seeds of each CI run.
const SEEDS: u64 = 40;
const KEYS: u64 = 12;
const STEPS: u64 = 400;
const FAST: ReplicaTiming = ReplicaTiming {
    heartbeat: Duration::from_millis(30),
    election: Duration::from_millis(120),
    lease: Duration::from_millis(90),
    probe: Duration::from_millis(100),
};

/// A daemon's try to run a call once.
#[derive(Clone)]
struct CallAttempt {
    key: u64,
    holder: u64,
    incarnation: Incarnation,
    attempt: AttemptId,
    /// The proposal that waits, and what it is for.
    waiting: Option<(u64, CallStep)>,
    sent: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum CallStep {
    Reserve,
    Release,
    Close,
}

/// Daemons that make calls, operators that change the configuration and repair the group.
struct CallerWorld {
    lives: BTreeMap<u64, Incarnation>,
    attempts: Vec<CallAttempt>,
    runs: BTreeMap<u64, u32>,
    applied: BTreeMap<Revision, String>,
    changes: Vec<(u64, String)>,
}

fn register(name: u64) -> String {
    format!(r#"{{"failure_domains":[{{"id":"domain-{name}"}}]}}"#)
}

impl CallerWorld {
    fn step(&mut self, group: &mut ReplicaGroup) {
        match group.below(10) {
            0..4 => self.new_attempt(group),
            4..6 => self.change_config(group),
            6 => {
                let holder = group.below(3);
                *self.lives.entry(holder).or_insert(1) += 1;
            }
            _ => {}
        }
        self.collect(group);
    }

    fn new_attempt(&mut self, group: &mut ReplicaGroup) {
        let holder = group.below(3);
        let attempt = self.attempts.len() as AttemptId + 1;
        let incarnation = *self.lives.entry(holder).or_insert(1);
        let key = group.below(KEYS);
        let mut call =
            CallAttempt { key, holder, incarnation, attempt, waiting: None, sent: false };
        call.propose(group, CallStep::Reserve);
        self.attempts.push(call);
    }

    fn change_config(&mut self, group: &mut ReplicaGroup) {
        let name = group.below(1_000_000);
        let expected = group.nodes.values().filter_map(|node| node.replica.as_ref());
        let expected = expected.map(|replica| replica.config().revision).max().unwrap_or(0);
        let operation = format!("change-{name}");
        let body = register(name);
        let command = Command::ApplyRegister { operation, expected, body: body.clone() };
        let vm = some_vm(group);
        self.changes.push((group.propose(&vm, command), body));
    }

    /// Goes on with each call whose proposal has an outcome. A daemon sends when its reserve was
    /// granted in its own life, and otherwise gives the claim back.
    fn collect(&mut self, group: &mut ReplicaGroup) {
        for call in &mut self.attempts {
            let Some((proposal, step)) = call.waiting else { continue };
            let Some(outcome) = group.outcomes.get(&proposal).cloned() else { continue };
            call.waiting = None;
            let alive = self.lives.get(&call.holder) == Some(&call.incarnation);
            match (step, outcome) {
                (CallStep::Reserve, Ok(CommandOutcome::Reserved)) if alive && !call.sent => {
                    if group.below(4) > 0 {
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
                ) if alive && group.below(4) > 0 => {
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

/// Often the leader, otherwise one that may have been one.
fn some_vm(group: &mut ReplicaGroup) -> VmId {
    let count = group.nodes.len() as u64;
    let other = group.below(count) as usize;
    let other = group.nodes.keys().nth(other).cloned().expect("there are nodes");
    if group.below(2) == 0 { other } else { group.leader().unwrap_or(other) }
}

fn break_something(group: &mut ReplicaGroup) {
    let vm = some_vm(group);
    match group.below(18) {
        0 => group.crash(&vm),
        12 | 13 => {
            group.crash(&vm);
            group.start(&vm);
        }
        14 | 15 => deafen_and_restart(group, &vm),
        16 if group.is_intact() => {
            if let Some(leader) = group.leader() {
                group.propose(&leader, Command::RemoveReplica { vm });
            }
        }
        17 => {
            let pause = Duration::from_millis([3, 40, 150][group.below(3) as usize]);
            group.nodes.get_mut(&vm).expect("it is one of them").slowest_sync = pause;
        }
        1 | 2 => group.start(&vm),
        3 => {
            let pause = Duration::from_millis(group.below(5000));
            group.freeze(&vm, pause);
        }
        // One disk at a time: with a quorum of disks gone no protocol could go on.
        4 if group.is_intact() => {
            group.crash(&vm);
            group.lose_disk(&vm);
            group.start(&vm);
        }
        5 => cut_off(group, &vm),
        6 | 7 => group.cut.clear(),
        8 => {
            let delay = Duration::from_millis([2, 20, 60, 400][group.below(4) as usize]);
            let drop = [0, 5, 25][group.below(3) as usize];
            group.faults = WireFaults { drop, double: drop, delay };
        }
        _ => repair(group),
    }
}

/// One replica hears the leader no more and stands for election just when those that it would
/// ask have forgotten, by a restart, that they have just heard the leader.
fn deafen_and_restart(group: &mut ReplicaGroup, vm: &VmId) {
    let Some(leader) = group.leader().filter(|leader| leader != vm) else { return };
    group.cut.insert((leader.clone(), vm.clone()));
    group.cut.insert((vm.clone(), leader.clone()));
    for _ in 0..6 {
        let pause = Duration::from_millis(group.below(group.timing.election.as_millis() as u64));
        group.run_for(pause);
        for other in group.nodes.keys().cloned().collect::<Vec<_>>() {
            if other != leader && other != *vm && group.nodes[&other].replica.is_some() {
                group.crash(&other);
                group.start(&other);
            }
        }
    }
}

/// Cuts one replica off, in one direction or in both.
fn cut_off(group: &mut ReplicaGroup, vm: &VmId) {
    let ways = group.below(3);
    for other in group.nodes.keys().filter(|other| *other != vm).cloned().collect::<Vec<_>>() {
        if ways != 0 {
            group.cut.insert((vm.clone(), other.clone()));
        }
        if ways != 1 {
            group.cut.insert((other, vm.clone()));
        }
    }
}

/// Takes each disk in that is not the one of the membership.
fn repair(group: &mut ReplicaGroup) {
    let (Some(leader), Some(membership)) = (group.leader(), group.membership()) else { return };
    let strange = |(vm, node): (&VmId, &replica_group::GroupNode)| {
        (!membership.is_member(vm, node.disk.incarnation)).then(|| vm.clone())
    };
    for vm in group.nodes.iter().filter_map(strange).collect::<Vec<_>>() {
        group.propose(&leader, Command::ReplaceReplica { vm, incarnation: None });
    }
}

fn is_whole(group: &ReplicaGroup) -> bool {
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

/// Runs one seed; returns the last revision that an operator was told of.
fn run_seed(seed: u64) -> Revision {
    let names = if seed % 3 == 2 { &["a", "b", "c", "d", "e"][..] } else { &["a", "b", "c"][..] };
    // Some groups elect so fast that leaders follow each other within one step.
    let timing = if seed % 4 < 2 { ReplicaTiming::default() } else { FAST };
    let mut group = ReplicaGroup::timed(names, seed, timing);
    let mut world = CallerWorld {
        lives: BTreeMap::new(),
        attempts: Vec::new(),
        runs: BTreeMap::new(),
        applied: BTreeMap::new(),
        changes: Vec::new(),
    };
    if seed.is_multiple_of(2) {
        assert!(group.run_until(Duration::from_secs(30), is_whole), "seed {seed}: no group forms");
    }
    for _ in 0..STEPS {
        let pause = Duration::from_millis(group.below(300));
        group.run_for(pause);
        world.step(&mut group);
        // Within a few milliseconds of the proposals, so that their entries are on the way.
        let pause = Duration::from_micros(group.below(12_000));
        group.run_for(pause);
        if group.below(5) == 0 {
            break_something(&mut group);
        }
    }
    heal(&mut group, seed);
    world.collect(&mut group);
    let revision = group.nodes.values().next().and_then(|node| node.replica.as_ref());
    let revision = revision.expect("all run").config().revision;
    let acknowledged = world.applied.keys().next_back().copied().unwrap_or(0);
    assert!(revision >= acknowledged, "seed {seed}: an acknowledged change is gone");
    acknowledged
}

/// All faults end, and the group comes back whole.
fn heal(group: &mut ReplicaGroup, seed: u64) {
    (group.faults, group.cut) = (CALM, Default::default());
    for vm in group.nodes.keys().cloned().collect::<Vec<_>>() {
        group.start(&vm);
    }
    let healed = (0..60).any(|_| {
        repair(group);
        group.run_until(Duration::from_secs(1), is_whole)
    });
    let roles: Vec<_> = group.nodes.values().filter_map(|node| node.replica.as_ref()).collect();
    let roles: Vec<_> = roles.iter().map(|replica| replica.status(group.now)).collect();
    assert!(healed, "seed {seed}: the group does not come back whole: {roles:#?}");
}

/// What callers see: a booking runs once and an accepted configuration stays, whatever happens to
/// the control replicas. In each run messages are lost, doubled and late, replicas crash, freeze,
/// are cut off one way or both and return with empty disks, while daemons claim calls and
/// operators change the configuration.
#[test]
fn random_faults_keep_invariants() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("REPLICA_SEED") {
        Some(seed) => vec![seed],
        None => (1..=number("REPLICA_SEEDS").unwrap_or(SEEDS)).collect(),
    };
    let told: Vec<Revision> = seeds.iter().map(|seed| run_seed(*seed)).collect();
    let idle = told.iter().filter(|revision| **revision == 0).count();
    assert!(idle * 10 <= told.len(), "{idle} of {} runs changed nothing", told.len());
}
