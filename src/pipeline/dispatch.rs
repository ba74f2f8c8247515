//! Drives the dispatcher: carries its decisions to the tasks of the requests.

use {
    super::{counters::count_retry, trace::TraceLog},
    crate::{
        ids::{AttemptId, RequestId, ServerId},
        observe::metrics::DUTIES_DROPPED,
        policy::{
            DidRun, Dispatcher, DomainDigest, PolicyAction, PolicyInput, RefusalReason,
            RequestTicket, SendOrder,
        },
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, mpsc},
};

/// Decisions that may wait for one request's task; it is woken at once, so few ever do.
const DIRECTIVE_BOUND: usize = 8;
/// Without a wish of the dispatcher the driver still looks once a second.
const IDLE_WAKEUP: Duration = Duration::from_secs(1);

/// What a request's task has to do next.
#[derive(Clone, Debug)]
pub enum DispatchDirective {
    /// Try once. Boxed, since a channel holds room for 32 of these for each open stream.
    Send(Box<SendOrder>),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Give the caller its final answer.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<Duration>,
        /// Whether it ran.
        did_run: DidRun,
    },
}

/// Work that belongs to no request.
#[derive(Clone, Debug)]
pub enum DispatchTask {
    /// Tell an engine to stop an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        server: ServerId,
    },
    /// Ask a server for a sign of life.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Spread a digest in the failure domain.
    Publish(DomainDigest),
}

/// The daemon's one dispatcher with the routes of decisions.
pub struct DispatcherHandle {
    state: Mutex<DispatchState>,
    duties: mpsc::Sender<DispatchTask>,
    trace: Arc<TraceLog>,
    /// Signalled when the next wakeup may have moved.
    moved: Notify,
}

struct DispatchState {
    dispatcher: Dispatcher,
    /// One route for each request in flight; the drain gate bounds them.
    routes: BTreeMap<RequestId, RouteEntry>,
    /// The request of each attempt named in a route's `attempts`.
    owners: BTreeMap<AttemptId, RequestId>,
}

struct RouteEntry {
    sender: mpsc::Sender<DispatchDirective>,
    attempts: Vec<AttemptId>,
}

impl DispatchState {
    fn direct(&mut self, request: &RequestId, directive: DispatchDirective) {
        let entry = self.routes.get(request);
        if entry.is_none_or(|entry| entry.sender.try_send(directive).is_err()) {
            log::debug!(request_id = request.as_str(); "a decision came for a request that is over");
        }
    }

    fn own(&mut self, order: &SendOrder) {
        if let Some(entry) = self.routes.get_mut(&order.request) {
            entry.attempts.push(order.attempt);
            self.owners.insert(order.attempt, order.request.clone());
        }
    }

    fn forget(&mut self, request: &RequestId) {
        let attempts = self.routes.remove(request).map(|entry| entry.attempts);
        attempts.into_iter().flatten().for_each(|attempt| {
            self.owners.remove(&attempt);
        });
    }
}

/// The route of one request; dropping it ends the request for the dispatcher.
pub struct RequestHandle {
    dispatcher: Arc<DispatcherHandle>,
    request: RequestId,
    directives: mpsc::Receiver<DispatchDirective>,
}

impl DispatcherHandle {
    /// A port around `dispatcher`; work that belongs to no request goes to `duties`.
    pub fn new(
        dispatcher: Dispatcher,
        duties: mpsc::Sender<DispatchTask>,
        trace: Arc<TraceLog>,
    ) -> Arc<Self> {
        let state = Mutex::new(DispatchState {
            dispatcher,
            routes: BTreeMap::new(),
            owners: BTreeMap::new(),
        });
        Arc::new(DispatcherHandle { state, duties, trace, moved: Notify::new() })
    }

    /// Hands in a request and returns the route on which its decisions come.
    pub fn submit(self: &Arc<Self>, ticket: RequestTicket) -> RequestHandle {
        let (sender, directives) = mpsc::channel(DIRECTIVE_BOUND);
        let request = ticket.request.clone();
        let entry = RouteEntry { sender, attempts: Vec::new() };
        self.lock().routes.insert(request.clone(), entry);
        let route = RequestHandle { dispatcher: Arc::clone(self), request, directives };
        self.notify(PolicyInput::Arrive(ticket));
        route
    }

    /// Tells the dispatcher something and carries out what it decides.
    pub fn notify(&self, input: PolicyInput) {
        self.notify_all([input]);
    }

    /// Tells the dispatcher what belongs together, and then carries out what it decides.
    pub fn notify_all(&self, inputs: impl IntoIterator<Item = PolicyInput>) {
        let mut state = self.lock();
        let actions = state.dispatcher.handle_all(Instant::now(), inputs);
        actions.into_iter().for_each(|action| self.carry_out(&mut state, action));
        drop(state);
        self.moved.notify_one();
    }

    /// Wakes the dispatcher whenever it is due; runs until it is dropped.
    pub async fn run_wakeups(&self) {
        loop {
            let due = self.lock().dispatcher.next_wakeup();
            let due = due.unwrap_or_else(|| Instant::now() + IDLE_WAKEUP);
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.notify(PolicyInput::Wake),
                () = self.moved.notified() => {}
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, state: &mut DispatchState, action: PolicyAction) {
        match action {
            PolicyAction::Send(order) => {
                let line = format!(
                    "send to {} as attempt {:032x}, expected hit {} tokens",
                    order.server, order.attempt, order.expected_hit
                );
                self.trace.record(&order.request, line);
                state.own(&order);
                state.direct(&order.request.clone(), DispatchDirective::Send(Box::new(order)));
            }
            PolicyAction::Refuse { request, reason, retry_after, did_run } => {
                self.trace.record(&request, format!("refuse: {}", reason.as_str()));
                state.direct(&request, DispatchDirective::Refuse { reason, retry_after, did_run });
            }
            PolicyAction::CountRetry { request, reason } => {
                count_retry(reason);
                self.trace.record(&request, format!("retry: {}", reason.as_str()));
            }
            PolicyAction::Cancel { attempt, server } => {
                if let Some(request) = state.owners.get(&attempt).cloned() {
                    state.direct(&request, DispatchDirective::Cancel(attempt));
                }
                self.perform(DispatchTask::Cancel { attempt, server });
            }
            PolicyAction::Probe { server } => self.perform(DispatchTask::Probe { server }),
            PolicyAction::Publish(digest) => self.perform(DispatchTask::Publish(digest)),
        }
    }

    fn perform(&self, duty: DispatchTask) {
        if self.duties.try_send(duty).is_err() {
            // Each duty is a hint or is given again: probes and digests by the clock, and an
            // engine notices a closed connection even without the cancel call.
            metrics::counter!(DUTIES_DROPPED).increment(1);
        }
    }
}

impl RequestHandle {
    /// Waits for the next decision. Cancel safe.
    pub async fn next(&mut self) -> DispatchDirective {
        // The sender stays in the port until this route is dropped.
        self.directives.recv().await.expect("the route is registered while it lives")
    }

    /// Tells the dispatcher something about this request.
    pub fn notify(&self, input: PolicyInput) {
        self.dispatcher.notify(input);
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.lock().forget(&self.request);
        // A task that was dropped half way, because its caller left, must free its place in the
        // queue and at the server. For a request that is over this says nothing new.
        self.dispatcher.notify(PolicyInput::CallerGone { request: self.request.clone() });
    }
}
