//! Randomised simulation of daemons whose commands reach the ledger late, twice, in any order or
//! never. A call is executed at most once, and in the end no abandoned claim remains.

use {
    oleandermount::{
        control::{Command, CommandOutcome, KeptAnswer, state::ControlState},
        ids::{AttemptId, FencingNumber},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
};

const SEEDS: u64 = 3_000;
const STEPS: u32 = 60;
const DAEMONS: usize = 3;
const LAST_CHECK: &str = "check";

/// Stage of the current attempt of a daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptStage {
    Ended,
    Requested,
    Granted,
    Sent,
}

/// Daemon with its commands in transit.
struct RandomDaemon {
    vm: String,
    attempt: AttemptId,
    stage: AttemptStage,
    /// At most one command for each step.
    network: Vec<Command>,
}

impl RandomDaemon {
    fn reserve(&self) -> Command {
        Command::Reserve {
            organisation: "firm".to_owned(),
            key: "slot".to_owned(),
            fingerprint: "one body".to_owned(),
            holder: self.vm.clone(),
            incarnation: 1,
            attempt: self.attempt,
            now_ms: 1,
        }
    }

    fn release(&self) -> Command {
        let (organisation, key, holder) = ("firm".to_owned(), "slot".to_owned(), self.vm.clone());
        Command::Release { organisation, key, holder, incarnation: 1, attempt: self.attempt }
    }

    fn finish(&self) -> Command {
        let (organisation, key, holder) = ("firm".to_owned(), "slot".to_owned(), self.vm.clone());
        let answer = KeptAnswer { status: 200, content_type: String::new(), body: vec![1] };
        let attempt = self.attempt;
        Command::Finish { organisation, key, holder, incarnation: 1, attempt, answer }
    }

    /// Ends the attempts below the current one, and the current one as well if it has ended.
    fn floor(&self) -> Command {
        let floor = self.attempt + AttemptId::from(self.stage == AttemptStage::Ended);
        Command::EndAttempts { vm: self.vm.clone(), incarnation: 1, floor, now_ms: 1 }
    }
}

struct LedgerSimulation {
    random: Xoshiro256PlusPlus,
    state: ControlState,
    daemons: Vec<RandomDaemon>,
    runs: u32,
}

impl LedgerSimulation {
    fn new(seed: u64) -> Self {
        let daemons = (0..DAEMONS).map(|number| RandomDaemon {
            vm: format!("vm-{number}"),
            attempt: 0,
            stage: AttemptStage::Ended,
            network: Vec::new(),
        });
        LedgerSimulation {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            state: ControlState::default(),
            daemons: daemons.collect(),
            runs: 0,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.random.next_u64() % bound as u64) as usize
    }

    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.state.apply(FencingNumber::default(), command)
    }

    /// Applies a command. It may be applied again, and its reply counts only if the daemon still
    /// waits for it.
    fn deliver(&mut self, number: usize) {
        if self.daemons[number].network.is_empty() {
            return;
        }
        let place = self.below(self.daemons[number].network.len());
        let command = match self.below(4) {
            0 => self.daemons[number].network[place].clone(),
            _ => self.daemons[number].network.swap_remove(place),
        };
        let outcome = self.apply(&command);
        let is_delivered = self.below(3) > 0;
        let daemon = &mut self.daemons[number];
        match command {
            Command::Reserve { attempt, .. }
                if attempt == daemon.attempt
                    && daemon.stage == AttemptStage::Requested
                    && is_delivered =>
            {
                match outcome {
                    CommandOutcome::Reserved => daemon.stage = AttemptStage::Granted,
                    _ => self.abandon_attempt(number),
                }
            }
            Command::Finish { .. } if is_delivered => daemon.stage = AttemptStage::Ended,
            _ => {}
        }
    }

    /// Ends the attempt without sending the call; the release may be lost.
    fn abandon_attempt(&mut self, number: usize) {
        let sends_release = self.below(2) == 0;
        let daemon = &mut self.daemons[number];
        daemon.stage = AttemptStage::Ended;
        if sends_release {
            daemon.network.push(daemon.release());
        }
    }

    fn step(&mut self) {
        let number = self.below(DAEMONS);
        let choice = self.below(6);
        let daemon = &mut self.daemons[number];
        match (choice, daemon.stage) {
            (0, AttemptStage::Ended) => {
                daemon.attempt += 1;
                daemon.stage = AttemptStage::Requested;
                daemon.network.push(daemon.reserve());
            }
            (0, AttemptStage::Requested) => daemon.network.push(daemon.reserve()),
            (0, AttemptStage::Granted) => {
                daemon.stage = AttemptStage::Sent;
                self.runs += 1;
            }
            (0, AttemptStage::Sent) => daemon.network.push(daemon.finish()),
            (1, AttemptStage::Requested | AttemptStage::Granted) => self.abandon_attempt(number),
            (2, _) => daemon.network.push(daemon.floor()),
            _ => self.deliver(number),
        }
    }

    /// Ends all attempts, applies the commands in transit in any order, and then reports the floor
    /// of each daemon.
    fn settle(&mut self) {
        for number in 0..DAEMONS {
            match self.daemons[number].stage {
                AttemptStage::Requested | AttemptStage::Granted => {
                    self.daemons[number].stage = AttemptStage::Ended;
                }
                AttemptStage::Sent => {
                    let finish = self.daemons[number].finish();
                    self.apply(&finish);
                    self.daemons[number].stage = AttemptStage::Ended;
                }
                AttemptStage::Ended => {}
            }
        }
        while self.daemons.iter().any(|daemon| !daemon.network.is_empty()) {
            let number = self.below(DAEMONS);
            self.deliver(number);
        }
        for number in 0..DAEMONS {
            let floor = self.daemons[number].floor();
            self.apply(&floor);
        }
    }
}

// Guards against a second execution and against an abandoned claim, in any order of commands.
#[test]
fn any_order_runs_once() {
    let mut run_seeds = 0;
    for seed in 0..SEEDS {
        let mut run = LedgerSimulation::new(seed);
        for _ in 0..STEPS {
            run.step();
            assert!(run.runs <= 1, "seed {seed}: the call ran {} times", run.runs);
        }
        run.settle();
        let daemon = RandomDaemon {
            vm: LAST_CHECK.to_owned(),
            attempt: 1,
            stage: AttemptStage::Ended,
            network: Vec::new(),
        };
        let outcome = run.apply(&daemon.reserve());
        match run.runs {
            0 => assert_eq!(outcome, CommandOutcome::Reserved, "seed {seed}: no claim is held"),
            _ => assert!(matches!(outcome, CommandOutcome::Finished { .. }), "seed {seed}"),
        }
        run_seeds += u64::from(run.runs > 0);
    }
    assert!((SEEDS / 10..SEEDS).contains(&run_seeds), "both outcomes occur: {run_seeds}");
}
