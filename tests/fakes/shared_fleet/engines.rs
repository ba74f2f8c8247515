//! The engines of the fleet: what they hold, read and generate.

use {
    super::{
        Call, ENGINES, Engine, FleetEvent, MEMORY, READ_RATES, SLOTS, STEPS_AN_EVENT, SharedFleet,
        seconds,
    },
    oleandermount::{
        ids::LeaseId,
        policy::slot_leases::{LeaseReport, REJECTION_PAUSE},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Requests that may wait inside an engine.
const QUEUE_LENGTH: usize = 144;
const PIECE_TOKENS: u32 = 2_048;
const STEP: Duration = Duration::from_millis(4);
/// How much longer a step takes for each running request.
const STEP_A_REQUEST: Duration = Duration::from_micros(90);
/// Long and short shared parts that an engine keeps.
const CACHED_PARTS: [usize; 2] = [60, 12];

impl SharedFleet {
    fn used(&self, engine: &Engine, more: Option<&Call>) -> u64 {
        let calls = engine.running.iter().map(|id| &self.calls[id]).chain(more);
        let (mut own, mut parts) = (0, BTreeMap::new());
        for call in calls {
            let memory = call.memory();
            own += u64::from(memory.own_tokens);
            parts.extend(memory.parts);
        }
        own + parts.values().map(|tokens| u64::from(*tokens)).sum::<u64>()
    }

    /// Whether an engine reads nothing and more than half of it is not in use.
    pub(super) fn is_free(&self, engine: &Engine) -> bool {
        !engine.is_down
            && engine.running.len() < SLOTS / 2
            && engine.running.iter().all(|id| self.calls[id].unread == 0)
            && self.used(engine, None) < MEMORY / 2
    }

    pub(super) fn send(&mut self, now: Instant, id: LeaseId) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let engine = &self.engines[call.engine];
        if engine.is_down {
            self.end_lease(now, id);
            self.ask_next(now, id);
            return;
        }
        if !self.has_room(engine, &call) && engine.queue.len() < QUEUE_LENGTH {
            self.count(&call, |outcomes| outcomes.queued += 1);
            self.engines[call.engine].queue.push_back(id);
            self.calls.get_mut(&id).unwrap().is_sent = true;
            return;
        }
        if !self.has_room(engine, &call) {
            self.count(&call, |outcomes| outcomes.rejected += 1);
            let arbiter = self.arbiters[call.engine];
            self.tables[arbiter].reject(now, &self.names[call.engine], id);
            self.schedule(now + REJECTION_PAUSE, FleetEvent::Resume { engine: call.engine });
            self.ask_next(now, id);
            return;
        }
        self.start(now, id);
    }

    fn has_room(&self, engine: &Engine, call: &Call) -> bool {
        engine.running.len() < SLOTS && self.used(engine, Some(call)) <= MEMORY
    }

    /// Starts a request at its engine.
    pub(super) fn start(&mut self, now: Instant, id: LeaseId) {
        let call = self.calls[&id].clone();
        let engine = &self.engines[call.engine];
        let is_cached = engine.cached.contains(&call.part);
        let kind = call.kind();
        let known = self.calls.get_mut(&id).unwrap();
        known.is_sent = true;
        known.is_read = false;
        known.unread = if is_cached { kind.own } else { kind.own + kind.shared };
        let engine = &mut self.engines[call.engine];
        engine.running.push(id);
        if !engine.is_stepping {
            engine.is_stepping = true;
            let event = FleetEvent::Step { engine: call.engine, starts: engine.starts };
            self.schedule(now, event);
        }
    }

    /// One step of an engine: it reads a piece of the most urgent prompt, and each request that is read gets
    /// a token at the end.
    pub(super) fn step(&mut self, now: Instant, number: usize, starts: u32) {
        let engine = &mut self.engines[number];
        if engine.starts != starts {
            return;
        }
        if engine.running.is_empty() {
            engine.is_stepping = false;
            return;
        }
        let running = engine.running.clone();
        let unread = running.iter().filter(|id| self.calls[id].unread > 0);
        let first = unread.min_by_key(|id| self.calls[id].kind().urgency).copied();
        let mut length = STEP + STEP_A_REQUEST * running.len() as u32;
        if let Some(id) = first {
            let call = self.calls.get_mut(&id).unwrap();
            let piece = call.unread.min(PIECE_TOKENS);
            call.unread -= piece;
            length += seconds(f64::from(piece) / READ_RATES[number % 3] / 1_000.0);
            if call.unread == 0 {
                let cached = &mut self.engines[number].cached;
                cached.retain(|part| *part != call.part);
                cached.push(call.part);
                let is_same = |part: &&u64| *part % 2 == call.part % 2;
                if cached.iter().filter(is_same).count() > CACHED_PARTS[usize::from(call.is_long)] {
                    let oldest = cached.iter().position(|part| *part % 2 == call.part % 2);
                    cached.remove(oldest.unwrap());
                }
            }
        }
        let end = now + length;
        for id in running {
            if self.calls[&id].unread == 0 {
                self.generate(end, id);
            }
        }
        self.schedule(end, FleetEvent::Step { engine: number, starts });
    }

    fn generate(&mut self, now: Instant, id: LeaseId) {
        let call = self.calls.get_mut(&id).unwrap();
        call.steps += 1;
        if !call.steps.is_multiple_of(STEPS_AN_EVENT) {
            return;
        }
        let kind = call.kind();
        if call.steps == STEPS_AN_EVENT || !call.is_read {
            call.is_read = true;
            let began = if call.steps == STEPS_AN_EVENT { call.arrived } else { call.last_event };
            call.is_late |= now - began > kind.objective;
            let expired = call.steps == STEPS_AN_EVENT && now >= call.arrived + kind.deadline;
            let (engine, call) = (call.engine, call.clone());
            if expired {
                self.count(&call, |outcomes| outcomes.expired += 1);
                self.finish(now, id);
                return;
            }
            let report = LeaseReport { is_read: true, ..LeaseReport::default() };
            let arbiter = self.arbiters[engine];
            if self.is_leased && self.reaches(call.entry, arbiter) {
                let granted = self.tables[arbiter].record(now, &self.names[engine], id, &report);
                self.send_granted(now, granted);
            }
        } else {
            call.is_late |= now - call.last_event > kind.pause;
        }
        let call = self.calls.get_mut(&id).unwrap();
        call.last_event = now;
        if call.steps >= kind.events * STEPS_AN_EVENT {
            let call = call.clone();
            self.count(&call, |outcomes| match call.is_late {
                true => outcomes.late += 1,
                false => outcomes.in_time += 1,
            });
            self.finish(now, id);
        }
    }

    fn finish(&mut self, now: Instant, id: LeaseId) {
        let engine = self.calls[&id].engine;
        self.engines[engine].running.retain(|running| *running != id);
        self.end_lease(now, id);
        self.calls.remove(&id);
        while let Some(next) = self.engines[engine].queue.front().copied() {
            let call = self.calls[&next].clone();
            if now >= call.arrived + call.kind().deadline {
                self.engines[engine].queue.pop_front();
                self.count(&call, |outcomes| outcomes.expired += 1);
                self.end_lease(now, next);
                self.calls.remove(&next);
            } else if self.has_room(&self.engines[engine], &call) {
                self.engines[engine].queue.pop_front();
                self.start(now, next);
            } else {
                break;
            }
        }
    }

    /// A third of the engines crash, lose their caches and requests, of which short ones are resumed, and return
    /// after a second.
    pub(super) fn crash_third(&mut self, now: Instant) {
        let third = self.below(3);
        for number in (0..ENGINES).filter(|number| number / 3 % 3 == third) {
            let engine = &mut self.engines[number];
            let mut lost = std::mem::take(&mut engine.running);
            lost.extend(std::mem::take(&mut engine.queue));
            engine.cached.clear();
            engine.is_down = true;
            engine.is_stepping = false;
            engine.starts += 1;
            self.schedule(now + seconds(1.0), FleetEvent::Return { engine: number });
            for id in lost {
                self.end_lease(now, id);
                let Some(call) = self.calls.get_mut(&id) else { continue };
                call.asked.clear();
                if call.is_long {
                    let call = self.calls.remove(&id).unwrap();
                    self.count(&call, |outcomes| outcomes.crashed += 1);
                } else {
                    self.ask_next(now, id);
                }
            }
        }
    }
}
