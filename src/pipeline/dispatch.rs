//! Runs the dispatcher and delivers its decisions to the tasks of the requests.

use {
    super::{counters::count_retry, trace::TraceLog},
    crate::{
        ids::{AttemptId, RequestId, ServerId},
        observe::metrics::BACKGROUND_CALLS_DROPPED,
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

/// Capacity of a request's directive channel; its task reads the channel as soon as it is woken.
const DIRECTIVE_CAPACITY: usize = 8;
/// Maximum interval between two wakeups of the dispatcher.
const MAX_WAKEUP_INTERVAL: Duration = Duration::from_secs(1);

/// The dispatcher's instruction to a request's task.
#[derive(Clone, Debug)]
pub enum DispatchDirective {
    /// Send one attempt. The order is boxed, because a channel allocates room for 32 directives for
    /// each open stream.
    Send(Box<SendOrder>),
    /// Abort an attempt.
    Cancel(AttemptId),
    /// Abort an attempt whose first token has not come, and report that.
    Withdraw(AttemptId),
    /// Refuse the request.
    Refuse {
        /// The reason, which determines status and message.
        reason: RefusalReason,
        /// When the caller may retry, if known.
        retry_after: Option<Duration>,
        /// Whether the request may have run.
        did_run: DidRun,
    },
}

/// Work of the dispatcher that is not done by a request's task.
#[derive(Clone, Debug)]
pub enum DispatchTask {
    /// Cancel an attempt at an engine.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// The server that runs it.
        server: ServerId,
    },
    /// Run a health check.
    Probe {
        /// The server to check.
        server: ServerId,
    },
    /// Send a load digest to the daemons of the failure domain.
    Publish(DomainDigest),
}

/// Shared access to the daemon's dispatcher.
pub struct DispatcherHandle {
    state: Mutex<DispatchState>,
    tasks: mpsc::Sender<DispatchTask>,
    trace: Arc<TraceLog>,
    /// Notified when the time of the next wakeup may have changed.
    wakeup_changed: Notify,
}

struct DispatchState {
    dispatcher: Dispatcher,
    /// One entry for each request in flight; the drain gate bounds their number.
    requests: BTreeMap<RequestId, RequestEntry>,
    /// The request of each attempt that an entry lists.
    attempt_requests: BTreeMap<AttemptId, RequestId>,
    /// Number of requests that were renamed, because another open request had the same id.
    renamed: u64,
}

struct RequestEntry {
    sender: mpsc::Sender<DispatchDirective>,
    attempts: Vec<AttemptId>,
}

impl DispatchState {
    /// Registers a request under its id, or under another one if an open request has this id.
    fn register(&mut self, id: &RequestId, entry: RequestEntry) -> RequestId {
        let mut request = id.clone();
        while self.requests.contains_key(&request) {
            self.renamed += 1;
            request = format!("{id}+{}", self.renamed);
        }
        self.requests.insert(request.clone(), entry);
        request
    }

    fn deliver(&mut self, request: &RequestId, directive: DispatchDirective) {
        let entry = self.requests.get(request);
        if entry.is_none_or(|entry| entry.sender.try_send(directive).is_err()) {
            log::debug!(request_id = request.as_str(); "dropped a decision for a finished request");
        }
    }

    fn register_attempt(&mut self, order: &SendOrder) {
        if let Some(entry) = self.requests.get_mut(&order.request) {
            entry.attempts.push(order.attempt);
            self.attempt_requests.insert(order.attempt, order.request.clone());
        }
    }

    fn remove_request(&mut self, request: &RequestId) {
        let attempts = self.requests.remove(request).map(|entry| entry.attempts);
        attempts.into_iter().flatten().for_each(|attempt| {
            self.attempt_requests.remove(&attempt);
        });
    }
}

/// A request at the dispatcher; dropping it ends the request there.
pub struct RequestHandle {
    dispatcher: Arc<DispatcherHandle>,
    request: RequestId,
    directives: mpsc::Receiver<DispatchDirective>,
}

impl DispatcherHandle {
    /// Creates a handle for `dispatcher`; work that is not part of a request is sent to `tasks`.
    pub fn new(
        dispatcher: Dispatcher,
        tasks: mpsc::Sender<DispatchTask>,
        trace: Arc<TraceLog>,
    ) -> Arc<Self> {
        let state = Mutex::new(DispatchState {
            dispatcher,
            requests: BTreeMap::new(),
            attempt_requests: BTreeMap::new(),
            renamed: 0,
        });
        Arc::new(DispatcherHandle { state, tasks, trace, wakeup_changed: Notify::new() })
    }

    /// Submits a request and returns the handle that receives its directives. Callers choose the ids, so that
    /// a request may have the id of another one that is open; the dispatcher gets it under a different id.
    pub fn submit(self: &Arc<Self>, mut ticket: RequestTicket) -> RequestHandle {
        let (sender, directives) = mpsc::channel(DIRECTIVE_CAPACITY);
        let entry = RequestEntry { sender, attempts: Vec::new() };
        let request = self.lock().register(&ticket.request, entry);
        ticket.request.clone_from(&request);
        let handle = RequestHandle { dispatcher: Arc::clone(self), request, directives };
        self.notify(PolicyInput::Arrive(ticket));
        handle
    }

    /// Passes an input to the dispatcher and executes its decisions.
    pub fn notify(&self, input: PolicyInput) {
        self.notify_all([input]);
    }

    /// Passes several inputs to the dispatcher before its decisions are made and executed.
    pub fn notify_all(&self, inputs: impl IntoIterator<Item = PolicyInput>) {
        let mut state = self.lock();
        let actions = state.dispatcher.handle_all(Instant::now(), inputs);
        actions.into_iter().for_each(|action| self.execute(&mut state, action));
        drop(state);
        self.wakeup_changed.notify_one();
    }

    /// Wakes the dispatcher at the times that it has requested; never returns.
    pub async fn run_wakeups(&self) {
        loop {
            let due = self.lock().dispatcher.next_wakeup();
            let due = due.unwrap_or_else(|| Instant::now() + MAX_WAKEUP_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => self.notify(PolicyInput::Wake),
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DispatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, state: &mut DispatchState, action: PolicyAction) {
        match action {
            PolicyAction::Send(order) => {
                let line = format!(
                    "send to {} as attempt {:032x}, expected hit {} tokens",
                    order.server, order.attempt, order.expected_hit
                );
                self.trace.record(&order.request, line);
                state.register_attempt(&order);
                state.deliver(&order.request.clone(), DispatchDirective::Send(Box::new(order)));
            }
            PolicyAction::Refuse { request, reason, retry_after, did_run } => {
                self.trace.record(&request, format!("refuse: {}", reason.as_str()));
                state.deliver(&request, DispatchDirective::Refuse { reason, retry_after, did_run });
            }
            PolicyAction::CountRetry { request, service, reason } => {
                count_retry(service, reason);
                self.trace.record(&request, format!("retry: {}", reason.as_str()));
            }
            PolicyAction::Cancel { attempt, server } => {
                if let Some(request) = state.attempt_requests.get(&attempt).cloned() {
                    state.deliver(&request, DispatchDirective::Cancel(attempt));
                }
                self.enqueue(DispatchTask::Cancel { attempt, server });
            }
            PolicyAction::Withdraw { attempt } => {
                if let Some(request) = state.attempt_requests.get(&attempt).cloned() {
                    self.trace.record(&request, "withdraw: its server has replaced weights");
                    state.deliver(&request, DispatchDirective::Withdraw(attempt));
                }
            }
            PolicyAction::Probe { server } => self.enqueue(DispatchTask::Probe { server }),
            PolicyAction::Publish(digest) => self.enqueue(DispatchTask::Publish(digest)),
        }
    }

    fn enqueue(&self, task: DispatchTask) {
        if self.tasks.try_send(task).is_err() {
            // Dropping a task is safe: probes and digests are repeated periodically, and an engine
            // detects a closed connection even without the cancel call.
            metrics::counter!(BACKGROUND_CALLS_DROPPED).increment(1);
        }
    }
}

impl RequestHandle {
    /// Waits for the next directive. This method is cancel safe.
    pub async fn next(&mut self) -> DispatchDirective {
        // The dispatcher's state owns the sender until this handle is dropped.
        self.directives.recv().await.expect("the request is registered until its handle is dropped")
    }

    /// Tells the dispatcher that the caller of this request has disconnected.
    pub fn notify_disconnected(&self) {
        self.notify(PolicyInput::CallerDisconnected { request: self.request.clone() });
    }

    /// Passes an input about this request to the dispatcher.
    pub fn notify(&self, input: PolicyInput) {
        self.dispatcher.notify(input);
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.lock().remove_request(&self.request);
        // A task that is dropped early, because its caller has disconnected, must free its places
        // in the queue and at the server. For a finished request this input has no effect.
        self.notify_disconnected();
    }
}
