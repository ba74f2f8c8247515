//! The lives of the daemons that claim calls: their clocks, and which of their attempts are over.
//!
//! A daemon numbers its attempts in ascending order. An attempt is over once nothing will be sent
//! under it any more and, if something was sent, its end is in the ledger. Without this a
//! reservation that arrives late could not be told from a new one, and would claim a call for
//! nobody.

use {
    super::{ClaimHolder, NAME_BYTES, refused},
    crate::{
        control::command::CommandOutcome,
        ids::{AttemptId, Incarnation, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Daemons that are remembered; the one with the oldest clock falls out.
pub const LIVES: usize = 1024;
/// Given-back attempts that are remembered of one life beside its floor. The oldest falls out; the
/// daemon's next floor covers it.
const RETURNED: usize = 64;

/// What is known of the daemon on a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DaemonLife {
    /// The latest life seen; only grows.
    incarnation: Incarnation,
    /// The latest time it gave; only grows.
    clock_ms: u64,
    /// Reservations of lower attempts are refused: when the life was noted, they may have been
    /// forgotten.
    first: AttemptId,
    /// The highest attempt seen, of former lives as well.
    newest: AttemptId,
    /// All attempts below it are over; only grows within a life.
    floor: AttemptId,
    /// Attempts that are over, none below `floor`; at most [`RETURNED`].
    returned: BTreeSet<AttemptId>,
}

/// The lives of all daemons.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonIncarnations {
    /// At most [`LIVES`].
    lives: BTreeMap<VmId, DaemonLife>,
    /// The second latest of the VMs' clocks; only grows. Retention ends by this clock.
    clock_ms: u64,
    /// The latest of the VMs' clocks, never below `clock_ms`; only grows. Closed calls carry this
    /// time: it cannot lie before the true one by more than clocks differ, also while only one VM
    /// proposes and `clock_ms` stands still.
    latest_ms: u64,
    /// All attempts of lives that fell out are below it; only grows.
    first: AttemptId,
}

/// The form in snapshots that knew no attempts: the latest life and clock of each VM.
pub type FormerLives = BTreeMap<VmId, (Incarnation, u64)>;

impl DaemonIncarnations {
    /// Takes over what former snapshots knew.
    pub fn upgrade(former: FormerLives, clock_ms: u64, latest_ms: u64) -> Self {
        let lives = former.into_iter().map(|(vm, (incarnation, clock_ms))| {
            (vm, DaemonLife { clock_ms, ..DaemonLife::new(incarnation, 0) })
        });
        DaemonIncarnations { lives: lives.collect(), clock_ms, latest_ms, first: 0 }
    }

    /// The clock that retention goes by, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// The latest clock, in milliseconds since the Unix epoch.
    pub fn latest_ms(&self) -> u64 {
        self.latest_ms
    }

    /// Notes the life and the clock of a daemon, unless a later life is known.
    pub fn note(&mut self, vm: &VmId, incarnation: Incarnation, now_ms: u64) -> CommandOutcome {
        if let Err(outcome) = self.life(vm, incarnation, now_ms) {
            return outcome;
        }
        self.make_room();
        self.advance_clock();
        CommandOutcome::Noted
    }

    /// Whether an attempt may claim a call; an outcome when it may not.
    pub fn admit(&mut self, holder: &ClaimHolder, now_ms: u64) -> Option<CommandOutcome> {
        let life = match self.life(&holder.vm, holder.incarnation, now_ms) {
            Ok(life) => life,
            Err(outcome) => return Some(outcome),
        };
        life.newest = life.newest.max(holder.attempt);
        let outcome = if life.is_over(holder.attempt) {
            Some(CommandOutcome::Released)
        } else if holder.attempt < life.first {
            Some(CommandOutcome::Forgotten { below: life.first })
        } else {
            None
        };
        self.make_room();
        self.advance_clock();
        outcome
    }

    /// Notes that an attempt is over: its daemon gave it back.
    pub fn give_back(&mut self, holder: &ClaimHolder) {
        // It carries no clock, and a later life needs no note of it.
        let Ok(life) = self.life(&holder.vm, holder.incarnation, 0) else { return };
        life.newest = life.newest.max(holder.attempt);
        if holder.attempt >= life.floor {
            life.returned.insert(holder.attempt);
        }
        if life.returned.len() > RETURNED {
            life.returned.pop_first();
        }
        self.make_room();
    }

    /// Notes that all attempts of a life below `floor` are over.
    pub fn raise_floor(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        floor: AttemptId,
        now_ms: u64,
    ) -> CommandOutcome {
        let life = match self.life(vm, incarnation, now_ms) {
            Ok(life) => life,
            Err(outcome) => return outcome,
        };
        life.newest = life.newest.max(floor);
        life.floor = life.floor.max(floor);
        life.returned = life.returned.split_off(&life.floor);
        self.make_room();
        self.advance_clock();
        CommandOutcome::Noted
    }

    /// Whether the holder's attempt is known to be over.
    pub fn is_over(&self, holder: &ClaimHolder) -> bool {
        self.lives.get(&holder.vm).is_some_and(|life| {
            life.incarnation == holder.incarnation && life.is_over(holder.attempt)
        })
    }

    /// Whether a later life of the holder's VM is known.
    pub fn is_gone(&self, holder: &ClaimHolder) -> bool {
        self.lives.get(&holder.vm).is_some_and(|life| life.incarnation > holder.incarnation)
    }

    /// The entry of a life, made if there is none.
    fn life(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Result<&mut DaemonLife, CommandOutcome> {
        if vm.len() > NAME_BYTES {
            return Err(refused("the name of the VM is longer than 256 bytes; shorten it"));
        }
        let fresh = DaemonLife::new(incarnation, self.first);
        let life = self.lives.entry(vm.clone()).or_insert_with(|| fresh.clone());
        if life.incarnation > incarnation {
            return Err(refused("a later life of this VM has proposed; restart the daemon"));
        }
        if life.incarnation < incarnation {
            let newest = life.newest.max(fresh.newest);
            *life = DaemonLife { clock_ms: life.clock_ms, newest, ..fresh };
        }
        life.clock_ms = life.clock_ms.max(now_ms);
        Ok(life)
    }

    fn make_room(&mut self) {
        while self.lives.len() > LIVES {
            let oldest = self.lives.iter().min_by_key(|(_, life)| life.clock_ms);
            let oldest = oldest.map(|(vm, _)| vm.clone()).expect("there are lives");
            let life = self.lives.remove(&oldest).expect("it was found just now");
            self.first = self.first.max(next_generation(life.newest));
        }
    }

    /// Takes the latest and the second latest of the VMs' clocks.
    ///
    /// One VM whose clock jumps ahead would otherwise end the retention of every answer at once,
    /// and a resend would run again. It takes two such VMs to do that.
    fn advance_clock(&mut self) {
        let (mut latest, mut second) = (0, 0);
        for life in self.lives.values() {
            if life.clock_ms > latest {
                (latest, second) = (life.clock_ms, latest);
            } else {
                second = second.max(life.clock_ms);
            }
        }
        self.clock_ms = self.clock_ms.max(second);
        self.latest_ms = self.latest_ms.max(latest);
    }
}

impl DaemonLife {
    fn new(incarnation: Incarnation, first: AttemptId) -> Self {
        DaemonLife {
            incarnation,
            clock_ms: 0,
            first,
            newest: AttemptId::from(incarnation) << 64,
            floor: 0,
            returned: BTreeSet::new(),
        }
    }

    fn is_over(&self, attempt: AttemptId) -> bool {
        attempt < self.floor || self.returned.contains(&attempt)
    }
}

/// The first attempt of the next generation. A daemon counts its attempts in the lower 64 bits and
/// changes the upper ones only when it is told that its attempts are forgotten, so that none which is
/// still on its way is as high.
fn next_generation(attempt: AttemptId) -> AttemptId {
    (attempt | AttemptId::from(u64::MAX)).saturating_add(1)
}
