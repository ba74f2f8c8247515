//! The servers' side of a run: jobs, answers, reports, cache events.

use super::*;

impl FleetSimulation<'_> {
    pub(super) fn accept(&mut self, server: usize, job: ServerJob) {
        if !self.attempts.contains_key(&job.attempt) {
            return;
        }
        if !self.servers[server].model.alive {
            self.fail(job.attempt, FAR_DELAY, AttemptFailure::NotConnected);
            return;
        }
        if self.servers[server].failing {
            self.fail(job.attempt, FAR_DELAY, AttemptFailure::ServerError);
            return;
        }
        let events = self.servers[server].model.accept(self.now, job);
        self.server_events(server, events);
    }

    pub(super) fn server_events(&mut self, server: usize, events: Vec<ServerEvent>) {
        for event in events {
            match event {
                ServerEvent::FirstToken { attempt, cached, prompt, fresh } => {
                    self.tally_prefill(attempt, cached, prompt, &fresh);
                    let cached_tokens = Some(cached);
                    self.answer(attempt, PolicyInput::FirstToken { attempt, cached_tokens });
                }
                ServerEvent::Progress { attempt, tokens } => {
                    self.answer(attempt, PolicyInput::Progress { attempt, tokens });
                }
                ServerEvent::Finished { attempt, cached, output } => {
                    let input = PolicyInput::Finished {
                        attempt,
                        cached_tokens: Some(cached),
                        output_tokens: output,
                    };
                    self.answer(attempt, input);
                }
                ServerEvent::Crashed { attempt } => self.crash(server, attempt),
            }
        }
        self.arm_server(server);
    }

    fn arm_server(&mut self, server: usize) {
        let now = self.now;
        let node = &mut self.servers[server];
        let Some(next) = node.model.next_event().map(|next| next.max(now)) else { return };
        if node.armed.is_none_or(|armed| next < armed) {
            node.armed = Some(next);
            let incarnation = node.model.incarnation;
            self.at(next, FleetEvent::Server { server, incarnation });
        }
    }

    fn answer(&mut self, attempt: AttemptId, input: PolicyInput) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        let (daemon, life, server) = (record.daemon, record.life, record.server);
        if self.reaches(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
            let arrival = self.now + self.delay(daemon, server);
            self.at(arrival, FleetEvent::Input { daemon, life, input });
        }
    }

    fn tally_prefill(
        &mut self,
        attempt: AttemptId,
        cached: u32,
        prompt: u32,
        fresh: &[(u64, u32)],
    ) {
        if let Some(record) = self.attempts.get(&attempt) {
            let request = &self.callers[record.request].request;
            self.run_metrics.record_prefill(request, cached, prompt, fresh);
        }
    }

    fn crash(&mut self, server: usize, crasher: AttemptId) {
        self.run_metrics.servers_lost += 1;
        let node = &mut self.servers[server];
        node.armed = None;
        let lost = node.model.crash();
        for attempt in lost.into_iter().chain([crasher]) {
            self.fail(attempt, FAR_DELAY, AttemptFailure::Broken);
        }
        self.tell_health(server, FINDING_LAG);
        self.at(self.now + REVIVAL, FleetEvent::Revive { server });
    }

    pub(super) fn revive(&mut self, server: usize) {
        self.servers[server].model.alive = true;
        self.servers[server].sequence = 0;
        self.tell_health(server, FINDING_LAG);
    }

    fn tell_health(&mut self, server: usize, wait: Duration) {
        let input = self.health_of(server);
        for daemon in 0..self.daemons.len() {
            if self.reaches(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                self.input(daemon, wait, input.clone());
            }
        }
    }

    pub(super) fn report(&mut self, server: usize) {
        self.at(self.now + REPORT_EVERY, FleetEvent::Report { server });
        if !self.servers[server].model.alive {
            return;
        }
        let load = self.load_report(server);
        let cache = self.cache_event(server);
        for daemon in 0..self.daemons.len() {
            if !self.reaches(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                continue;
            }
            self.input(daemon, self.report_lag, PolicyInput::Load(load.clone()));
            if self.source.unit() >= self.cache_loss {
                self.input(daemon, CACHE_LAG, PolicyInput::Cache(cache.clone()));
            }
        }
    }

    fn load_report(&self, server: usize) -> LoadReport {
        let model = &self.servers[server].model;
        let (waiting, waiting_tokens) = model.backlog();
        LoadReport {
            server: self.plan.servers[server].id.clone(),
            incarnation: model.incarnation,
            weights: [(MODEL.into(), WEIGHTS.into())].into(),
            running: model.running() as u32,
            waiting: waiting as u32,
            waiting_tokens,
            cache_used: model.cache.utilization(),
            leaving: false,
        }
    }

    fn cache_event(&mut self, server: usize) -> CacheEvent {
        let node = &mut self.servers[server];
        node.sequence += 1;
        let (stored, evicted) = node.model.cache.take_changes();
        CacheEvent {
            server: self.plan.servers[server].id.clone(),
            incarnation: node.model.incarnation,
            sequence: node.sequence,
            stored,
            evicted,
        }
    }
}
