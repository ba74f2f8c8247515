//! Injected faults: slow and failing servers, daemon restarts and network partitions.

use super::*;

impl FleetSimulation<'_> {
    pub(super) fn inject_fault(&mut self, fault: SiteFault) {
        match fault {
            SiteFault::SetSpeed { server, speed } => {
                self.servers[server].simulated.properties.speed = speed;
            }
            SiteFault::SetFailing { server, failing } => self.servers[server].failing = failing,
            SiteFault::RestartDaemons { daemons, downtime } => {
                for daemon in daemons {
                    self.stop_daemon(daemon);
                    self.schedule(self.now + downtime, FleetEvent::DaemonRestart { daemon });
                }
            }
            SiteFault::Partition { domain } => {
                self.partitioned = Some(domain);
                self.schedule(self.now + DETECTION_LAG, FleetEvent::PartitionChange);
            }
            SiteFault::HealPartition => {
                self.partitioned = None;
                self.schedule(self.now + DETECTION_LAG, FleetEvent::PartitionChange);
            }
        }
    }

    fn stop_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].running = false;
        self.daemons[daemon].scheduled_at = None;
        let open_attempts: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| record.daemon == daemon)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in open_attempts {
            // The servers detect the closed connection and drop the attempt.
            self.cancel(attempt);
        }
        for request in 0..self.callers.len() {
            let caller = &mut self.callers[request];
            if caller.daemon == Some(daemon) && caller.outcome.is_none() {
                let retry_at = caller.handle_daemon_loss(self.now, &mut self.source);
                self.schedule_retry(request, retry_at);
            }
        }
    }

    pub(super) fn restart_daemon(&mut self, daemon: usize) {
        let identity = router_identity(&self.plan, daemon, &mut self.source);
        let router = (self.make_router)(&identity);
        let node = &mut self.daemons[daemon];
        node.router = router;
        node.incarnation += 1;
        node.running = true;
        self.send_initial_state(daemon);
    }

    /// Breaks connections across a network partition and reports the reachable failure domains to
    /// the daemons.
    pub(super) fn handle_partition_change(&mut self) {
        let broken_attempts: BTreeSet<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| {
                let from = self.plan.daemons[record.daemon].domain;
                !self.can_reach(from, self.plan.servers[record.server].domain)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in broken_attempts {
            self.fail(attempt, Duration::ZERO, AttemptFailure::Broken);
            let server = self.attempts[&attempt].server;
            self.schedule(self.now, FleetEvent::Cancel { server, attempt });
        }
        for daemon in 0..self.daemons.len() {
            if !self.daemons[daemon].running {
                continue;
            }
            self.notify_reachability(daemon);
            for server in 0..self.servers.len() {
                let server_domain = self.plan.servers[server].domain;
                if self.can_reach(self.plan.daemons[daemon].domain, server_domain) {
                    self.deliver(daemon, self.health_input(server));
                }
            }
        }
    }

    pub(super) fn notify_reachability(&mut self, daemon: usize) {
        let from = self.plan.daemons[daemon].domain;
        let domains = self
            .plan
            .domains
            .iter()
            .enumerate()
            .filter(|(index, _)| self.can_reach(from, *index))
            .map(|(_, name)| name.clone())
            .collect();
        self.deliver(daemon, PolicyInput::Reachable { domains });
    }
}
