//! Three simple routers for comparison. Each sends a request immediately and lets it queue in the
//! server in order of arrival. It retries a failed request up to twice, on untried servers if there
//! are any, as long as the caller has received no token. Waiting requests are refused only at their
//! deadline.

use {
    super::{
        random_source::{RandomSource, mix_hash},
        route_policy::{RoutePolicy, RouterIdentity},
    },
    oleandermount::{
        ids::{AttemptId, RequestId, ServerId},
        policy::{
            AttemptFailure, DidRun, PolicyAction, PolicyInput, PolicyView, RefusalReason,
            RequestTicket, RequestWork, SendOrder, ServerHealth,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of sends per request.
const MAX_SENDS: usize = 3;
/// Index of the prefix level whose hash selects the server: the client's prompt, so that all chats
/// of a client go to one server. The level of the organisation's prompt would send all requests of
/// a large organisation to one server.
const HASHED_LEVEL: usize = 1;

/// Rule by which a baseline router selects a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BaselineRule {
    /// Servers in turn.
    RoundRobin,
    /// The server with the fewest requests: those of its last report and the router's own in
    /// flight.
    LeastLoaded,
    /// Rendezvous hashing by the prompt's prefix.
    PrefixHash,
}

struct OpenRequest {
    ticket: RequestTicket,
    attempt: AttemptId,
    /// Servers to which the request was sent, in order; the last one has the current attempt.
    tried: Vec<ServerId>,
    streaming: bool,
}

/// Router that follows one [`BaselineRule`].
pub struct BaselineRouter {
    rule: BaselineRule,
    source: RandomSource,
    rotation: usize,
    view: Arc<PolicyView>,
    dead_servers: BTreeSet<ServerId>,
    reachable: Option<Vec<String>>,
    /// Requests at each server according to its last load report.
    reported_load: BTreeMap<ServerId, u32>,
    /// The router's own requests in flight at each server.
    in_flight: BTreeMap<ServerId, u32>,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Open request of each current attempt; a request has exactly one.
    attempts: BTreeMap<AttemptId, RequestId>,
    /// Deadlines of the open requests without a token.
    deadlines: BTreeSet<(Instant, RequestId)>,
}

impl BaselineRouter {
    /// Creates a router without servers; `PolicyInput::Configure` delivers them.
    pub fn new(rule: BaselineRule, identity: &RouterIdentity) -> Self {
        BaselineRouter {
            rule,
            source: RandomSource::new(identity.seed, "plain"),
            rotation: identity.seed as usize % 1_000,
            view: Arc::default(),
            dead_servers: BTreeSet::new(),
            reachable: None,
            reported_load: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    fn arrive(&mut self, now: Instant, ticket: RequestTicket) -> Vec<PolicyAction> {
        let request = ticket.request.clone();
        self.deadlines.insert((ticket.deadline, request.clone()));
        let open = OpenRequest { ticket, attempt: 0, tried: Vec::new(), streaming: false };
        self.open.insert(request.clone(), open);
        self.send(now, request)
    }

    fn send(&mut self, now: Instant, request: RequestId) -> Vec<PolicyAction> {
        let open = &self.open[&request];
        let Some(server) = self.select_server(&open.ticket.work.clone(), &open.tried.clone())
        else {
            return self.refuse(request, RefusalReason::NoServer);
        };
        let attempt = (u128::from(self.source.seed()) << 64) | u128::from(self.source.seed());
        let open = self.open.get_mut(&request).expect("the request is open");
        open.attempt = attempt;
        open.tried.push(server.clone());
        self.attempts.insert(attempt, request.clone());
        let in_flight = self.in_flight.entry(server.clone()).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        vec![PolicyAction::Send(SendOrder {
            software: String::new(),
            request,
            attempt,
            server,
            incarnation: None,
            weights: None,
            expected_hit: 0,
            import: None,
            source: None,
            store_use: None,
            priority: 0,
            predicted: Duration::ZERO,
            resume_after: 0,
            in_flight,
            send_before: now + Duration::from_secs(1),
        })]
    }

    fn select_server(&mut self, work: &RequestWork, tried: &[ServerId]) -> Option<ServerId> {
        let eligible = self.view.servers.iter().filter(|(id, server)| {
            let domain = &server.failure_domain;
            !self.dead_servers.contains(*id)
                && self.reachable.as_ref().is_none_or(|reachable| reachable.contains(domain))
                && match work {
                    RequestWork::Model { model, .. } => server.models.contains(model),
                    RequestWork::Service { service } => server.service.as_ref() == Some(service),
                }
        });
        let eligible: Vec<&ServerId> = eligible.map(|(id, _)| id).collect();
        let untried: Vec<&ServerId> =
            eligible.iter().copied().filter(|id| !tried.contains(id)).collect();
        let candidates = if untried.is_empty() { eligible } else { untried };
        if candidates.is_empty() {
            return None;
        }
        self.rotation += 1;
        let count = |of: &BTreeMap<ServerId, u32>, id: &ServerId| of.get(id).copied().unwrap_or(0);
        let load = |id: &ServerId| count(&self.reported_load, id) + count(&self.in_flight, id);
        let selected = match (self.rule, work) {
            (BaselineRule::PrefixHash, RequestWork::Model { levels, .. }) => {
                let key = levels.get(HASHED_LEVEL).or(levels.last()).map_or(0, |level| level.hash);
                candidates
                    .iter()
                    .max_by_key(|id| id.bytes().fold(key, |hash, byte| mix_hash(hash, byte.into())))
            }
            (BaselineRule::LeastLoaded, _) => {
                let start = self.rotation % candidates.len();
                let rotated = candidates[start..].iter().chain(&candidates[..start]);
                rotated.min_by_key(|id| load(id))
            }
            (BaselineRule::RoundRobin | BaselineRule::PrefixHash, _) => {
                candidates.get(self.rotation % candidates.len())
            }
        };
        selected.map(|id| (*id).clone())
    }

    fn fail(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> Vec<PolicyAction> {
        let Some(request) = self.attempts.remove(&attempt) else { return Vec::new() };
        let open = &self.open[&request];
        self.end_attempt(&open.tried[open.tried.len() - 1].clone());
        let open = &self.open[&request];
        let never_ran = failure == AttemptFailure::NotConnected;
        if open.streaming || !(open.ticket.repeatable || never_ran) {
            return self.refuse(request, RefusalReason::ServerFailed);
        }
        if open.tried.len() >= MAX_SENDS {
            return self.refuse(request, RefusalReason::RetriesExhausted);
        }
        self.send(now, request)
    }

    fn end_attempt(&mut self, server: &str) {
        if let Some(count) = self.in_flight.get_mut(server) {
            *count -= 1;
        }
    }

    fn close(&mut self, request: &str) -> Option<OpenRequest> {
        let open = self.open.remove(request)?;
        self.attempts.remove(&open.attempt);
        self.deadlines.remove(&(open.ticket.deadline, open.ticket.request.clone()));
        Some(open)
    }

    fn refuse(&mut self, request: RequestId, reason: RefusalReason) -> Vec<PolicyAction> {
        self.close(&request);
        vec![PolicyAction::Refuse { request, reason, retry_after: None, did_run: DidRun::Unknown }]
    }

    /// Cancels and closes a request whose caller no longer waits for it.
    fn cancel_request(&mut self, request: &str) -> Vec<PolicyAction> {
        let Some(open) = self.close(request) else { return Vec::new() };
        let Some(server) = open.tried.last().cloned() else { return Vec::new() };
        self.end_attempt(&server);
        vec![PolicyAction::Cancel { attempt: open.attempt, server }]
    }

    fn refuse_expired(&mut self, now: Instant) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            actions.extend(self.cancel_request(&request));
            actions.extend(self.refuse(request, RefusalReason::DeadlinePassed));
        }
        actions
    }

    fn first_token(&mut self, attempt: AttemptId) {
        if let Some(request) = self.attempts.get(&attempt) {
            let open = self.open.get_mut(request).expect("each attempt belongs to an open request");
            open.streaming = true;
            self.deadlines.remove(&(open.ticket.deadline, request.clone()));
        }
    }

    fn finish(&mut self, attempt: AttemptId) {
        if let Some(request) = self.attempts.get(&attempt).cloned()
            && let Some(open) = self.close(&request)
        {
            self.end_attempt(&open.tried[open.tried.len() - 1]);
        }
    }
}

impl RoutePolicy for BaselineRouter {
    fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction> {
        match input {
            PolicyInput::Configure(view) => self.view = view,
            PolicyInput::Arrive(ticket) => return self.arrive(now, ticket),
            PolicyInput::FirstToken { attempt, .. } => self.first_token(attempt),
            PolicyInput::Finished { attempt, .. } => self.finish(attempt),
            PolicyInput::Failed { attempt, failure, .. } => {
                return self.fail(now, attempt, failure);
            }
            PolicyInput::CallerDisconnected { request } => return self.cancel_request(&request),
            PolicyInput::Load(report) => {
                self.reported_load.insert(report.server, report.running + report.waiting);
            }
            PolicyInput::Health { server, health: ServerHealth::Alive { .. } } => {
                self.dead_servers.remove(&server);
            }
            PolicyInput::Health { server, .. } => {
                self.dead_servers.insert(server);
            }
            PolicyInput::Reachable { domains } => self.reachable = Some(domains),
            PolicyInput::Wake => return self.refuse_expired(now),
            PolicyInput::Leased { .. }
            | PolicyInput::LeasedLoad { .. }
            | PolicyInput::Progress { .. }
            | PolicyInput::Cache(_)
            | PolicyInput::Digest(_)
            | PolicyInput::CrashReports(_)
            | PolicyInput::LinksFailed(_)
            | PolicyInput::PeerFetch { .. }
            | PolicyInput::CacheStoreLink { .. }
            | PolicyInput::RetryReserve { .. }
            | PolicyInput::ServerRest { .. }
            | PolicyInput::ServerLeaving { .. }
            | PolicyInput::ServerLimit { .. }
            | PolicyInput::ServerEnded { .. }
            | PolicyInput::ServerIdentified { .. }
            | PolicyInput::Probed { .. }
            | PolicyInput::WorkTime { .. } => {}
        }
        Vec::new()
    }

    fn next_wakeup(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }
}
