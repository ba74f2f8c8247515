//! What goes wrong in a run: slow servers, restarts of daemons, cut failure domains.

use super::*;

impl FleetSimulation<'_> {
    pub(super) fn strike(&mut self, fault: SiteFault) {
        match fault {
            SiteFault::SetSpeed { server, speed } => {
                self.servers[server].model.properties.speed = speed;
            }
            SiteFault::SetFailing { server, failing } => self.servers[server].failing = failing,
            SiteFault::RestartDaemons { daemons, down } => {
                for daemon in daemons {
                    self.stop_daemon(daemon);
                    self.at(self.now + down, FleetEvent::DaemonUp { daemon });
                }
            }
            SiteFault::Partition { domain } => {
                self.cut = Some(domain);
                self.at(self.now + FINDING_LAG, FleetEvent::CutFound);
            }
            SiteFault::Heal => {
                self.cut = None;
                self.at(self.now + FINDING_LAG, FleetEvent::CutFound);
            }
        }
    }

    fn stop_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].up = false;
        self.daemons[daemon].armed = None;
        let open: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| record.daemon == daemon)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in open {
            // Servers see the connection break.
            self.cancel(attempt);
        }
        for request in 0..self.callers.len() {
            let caller = &mut self.callers[request];
            if caller.daemon == Some(daemon) && caller.outcome.is_none() {
                let back = caller.handle_daemon_loss(self.now, &mut self.source);
                self.come_back(request, back);
            }
        }
    }

    pub(super) fn daemon_up(&mut self, daemon: usize) {
        let identity = router_identity(&self.plan, daemon, &mut self.source);
        let router = (self.make)(&identity);
        let node = &mut self.daemons[daemon];
        node.router = router;
        node.life += 1;
        node.up = true;
        self.introduce(daemon);
    }

    /// Connections across a cut are given up, and daemons learn whom they reach.
    pub(super) fn cut_found(&mut self) {
        let broken: BTreeSet<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| {
                let from = self.plan.daemons[record.daemon].domain;
                !self.reaches(from, self.plan.servers[record.server].domain)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in broken {
            self.fail(attempt, Duration::ZERO, AttemptFailure::Broken);
            let server = self.attempts[&attempt].server;
            self.at(self.now, FleetEvent::Cancel { server, attempt });
        }
        for daemon in 0..self.daemons.len() {
            if !self.daemons[daemon].up {
                continue;
            }
            self.tell_reachable(daemon);
            for server in 0..self.servers.len() {
                let home = self.plan.servers[server].domain;
                if self.reaches(self.plan.daemons[daemon].domain, home) {
                    self.deliver(daemon, self.health_of(server));
                }
            }
        }
    }

    pub(super) fn tell_reachable(&mut self, daemon: usize) {
        let from = self.plan.daemons[daemon].domain;
        let domains = self
            .plan
            .domains
            .iter()
            .enumerate()
            .filter(|(index, _)| self.reaches(from, *index))
            .map(|(_, name)| name.clone())
            .collect();
        self.deliver(daemon, PolicyInput::Reachable { domains });
    }
}
