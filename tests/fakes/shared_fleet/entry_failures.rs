//! Failures of entries, and the arbiters that follow from the entries that are left.

use {
    super::{ENTRIES, EntryFailure, FleetEvent, MEMORY, SLOTS, SharedFleet, seconds},
    oleandermount::policy::slot_leases::{ArbitratedServer, SlotTable, choose_arbiter},
    std::{collections::BTreeSet, time::Instant},
};

impl SharedFleet {
    pub(super) fn assign(&mut self, now: Instant) {
        let had_arbiter = !self.arbiters.is_empty();
        let gone: BTreeSet<usize> = match self.failure {
            EntryFailure::Killed => self.silent.clone(),
            _ => BTreeSet::new(),
        };
        let names = &self.entry_names;
        let arbiters = self.names.iter().map(|server| {
            let present = names.iter().enumerate().filter(|(entry, _)| !gone.contains(entry));
            let chosen = choose_arbiter(server, present.map(|(_, name)| name)).unwrap();
            names.iter().position(|name| name == chosen).unwrap()
        });
        self.arbiters = arbiters.collect();
        for (entry, table) in self.tables.iter_mut().enumerate() {
            let own = self.arbiters.iter().enumerate().filter(|(_, arbiter)| **arbiter == entry);
            let arbitrated =
                ArbitratedServer { slots: SLOTS as u32, memory: Some(MEMORY), had_arbiter };
            let own = own.map(|(server, _)| (self.names[server].clone(), arbitrated.clone()));
            table.configure(now, own.collect());
        }
    }

    /// Begins the failure of entries.
    pub(super) fn fail(&mut self, now: Instant) {
        match self.failure {
            EntryFailure::None | EntryFailure::LaggingList => {}
            EntryFailure::Killed => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 10 == 3).collect();
                self.schedule(now + seconds(3.0), FleetEvent::Reassign);
            }
            EntryFailure::Frozen => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 10 == 3).collect();
                self.schedule(now + seconds(1.0), FleetEvent::Recover);
            }
            EntryFailure::CutOff => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 3 == 1).collect();
                self.schedule(now + seconds(3.0), FleetEvent::Recover);
            }
            EntryFailure::Restarted => {
                let started = ((now - self.began).as_millis() as usize - 2_000) / 100;
                if started < ENTRIES {
                    self.tables[started] = SlotTable::default();
                    self.assign(now);
                    self.schedule(now + seconds(0.1), FleetEvent::Fail);
                }
            }
        }
    }

    pub(super) fn confirm(&mut self, now: Instant) {
        self.schedule(now + seconds(1.0), FleetEvent::Confirm);
        let mut held = vec![BTreeSet::new(); ENTRIES];
        for (lease, call) in &self.calls {
            held[call.entry].insert((self.names[call.engine].clone(), *lease));
        }
        let present = (0..ENTRIES).filter(|entry| !self.silent.contains(entry));
        let present: Vec<usize> = present.collect();
        for arbiter in present.iter().copied() {
            for entry in present.iter().copied() {
                let name = &self.entry_names[entry];
                let granted = self.tables[arbiter].confirm(now, name, &held[entry]);
                self.send_granted(now, granted);
            }
            let granted = self.tables[arbiter].expire(now);
            self.send_granted(now, granted);
        }
    }
}
