//! Events of servers: jobs, answers, crashes, load reports and cache events.

use super::*;

impl FleetSimulation<'_> {
    pub(super) fn accept(&mut self, server: usize, job: ServerJob) {
        if !self.attempts.contains_key(&job.attempt) {
            return;
        }
        if !self.servers[server].simulated.alive {
            self.fail(job.attempt, INTER_DOMAIN_DELAY, AttemptFailure::NotConnected);
            return;
        }
        if self.servers[server].failing {
            self.fail(job.attempt, INTER_DOMAIN_DELAY, AttemptFailure::ServerError);
            return;
        }
        let events = self.servers[server].simulated.accept(self.now, job);
        self.handle_server_events(server, events);
    }

    pub(super) fn handle_server_events(&mut self, server: usize, events: Vec<ServerEvent>) {
        for event in events {
            match event {
                ServerEvent::FirstToken { attempt, cached, prompt, computed_levels } => {
                    self.record_prefill(attempt, cached, prompt, &computed_levels);
                    let cached_tokens = Some(cached);
                    self.schedule_response(
                        attempt,
                        PolicyInput::FirstToken { attempt, cached_tokens },
                    );
                }
                ServerEvent::Progress { attempt, tokens } => {
                    self.schedule_response(attempt, PolicyInput::Progress { attempt, tokens });
                }
                ServerEvent::Finished { attempt, cached, output } => {
                    let input = PolicyInput::Finished {
                        attempt,
                        cached_tokens: Some(cached),
                        output_tokens: output,
                    };
                    self.schedule_response(attempt, input);
                }
                ServerEvent::Crashed { attempt } => self.crash(server, attempt),
            }
        }
        self.schedule_server_event(server);
    }

    fn schedule_server_event(&mut self, server: usize) {
        let now = self.now;
        let node = &mut self.servers[server];
        let Some(next) = node.simulated.next_event().map(|next| next.max(now)) else { return };
        if node.scheduled_at.is_none_or(|scheduled_at| next < scheduled_at) {
            node.scheduled_at = Some(next);
            let incarnation = node.simulated.incarnation;
            self.schedule(next, FleetEvent::ServerAdvance { server, incarnation });
        }
    }

    fn schedule_response(&mut self, attempt: AttemptId, input: PolicyInput) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (daemon, incarnation, server) = (record.daemon, record.incarnation, record.server);
        if self.can_reach(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
            let arrival = self.now + self.network_delay(daemon, server);
            self.schedule(arrival, FleetEvent::Input { daemon, incarnation, input });
        }
    }

    fn record_prefill(
        &mut self,
        attempt: AttemptId,
        cached: u32,
        prompt: u32,
        computed_levels: &[(u64, u32)],
    ) {
        if let Some(record) = self.attempts.get(&attempt) {
            let request = &self.callers[record.request].request;
            self.run_metrics.record_prefill(request, cached, prompt, computed_levels);
        }
    }

    fn crash(&mut self, server: usize, crashing_attempt: AttemptId) {
        self.run_metrics.servers_lost += 1;
        let node = &mut self.servers[server];
        node.scheduled_at = None;
        let lost = node.simulated.crash();
        for attempt in lost.into_iter().chain([crashing_attempt]) {
            self.fail(attempt, INTER_DOMAIN_DELAY, AttemptFailure::Broken);
        }
        self.notify_health(server, DETECTION_LAG);
        self.schedule(self.now + RESTART_TIME, FleetEvent::ServerRestart { server });
    }

    pub(super) fn restart_server(&mut self, server: usize) {
        self.servers[server].simulated.alive = true;
        self.servers[server].sequence = 0;
        self.notify_health(server, DETECTION_LAG);
    }

    fn notify_health(&mut self, server: usize, delay: Duration) {
        let input = self.health_input(server);
        for daemon in 0..self.daemons.len() {
            if self.can_reach(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                self.schedule_input(daemon, delay, input.clone());
            }
        }
    }

    pub(super) fn report(&mut self, server: usize) {
        self.schedule(self.now + REPORT_INTERVAL, FleetEvent::Report { server });
        if !self.servers[server].simulated.alive {
            return;
        }
        let load = self.load_report(server);
        let cache = self.cache_event(server);
        for daemon in 0..self.daemons.len() {
            if !self.can_reach(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                continue;
            }
            self.schedule_input(daemon, self.report_lag, PolicyInput::Load(load.clone()));
            if self.source.unit() >= self.cache_loss {
                self.schedule_input(daemon, CACHE_LAG, PolicyInput::Cache(cache.clone()));
            }
        }
    }

    fn load_report(&self, server: usize) -> LoadReport {
        let simulated = &self.servers[server].simulated;
        let (waiting, waiting_tokens) = simulated.backlog();
        LoadReport {
            server: self.plan.servers[server].id.clone(),
            incarnation: simulated.incarnation,
            weights: [(MODEL.into(), WEIGHTS.into())].into(),
            running: simulated.running() as u32,
            waiting: waiting as u32,
            waiting_tokens,
            cache_used: simulated.cache.utilization(),
            leaving: false,
        }
    }

    fn cache_event(&mut self, server: usize) -> CacheEvent {
        let node = &mut self.servers[server];
        node.sequence += 1;
        let (stored, evicted) = node.simulated.cache.take_changes();
        CacheEvent {
            server: self.plan.servers[server].id.clone(),
            incarnation: node.simulated.incarnation,
            sequence: node.sequence,
            stored,
            evicted,
        }
    }
}
