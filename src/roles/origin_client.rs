//! Reports the streams that this entry begins, and finds those that others have begun.

use {
    crate::{
        follow::stream_origins::{
            OriginAnswer, OriginReport, OriginTable, StreamKey, StreamOrigin, stream_key,
        },
        ids::{RequestId, ServiceId, SoftwareVersion, VmId},
        policy::software_history::{SoftwareHistory, VersionState},
        reverse_proxy::{
            dialect::ResumedStream,
            stream_origin::{OriginFinder, ResumeTarget},
        },
        transport::{PeerMessage, PeerNetwork, PeerReply, PeerRequest},
    },
    futures::{
        future::BoxFuture,
        stream::{FuturesUnordered, StreamExt},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time::sleep,
    },
};

/// Minimum pause between two reports, and a pause for each entry, which together bound the reports that
/// a control VM receives.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
const REPORT_PAUSE_PER_ENTRY: Duration = Duration::from_micros(700);
/// Maximum number of streams that wait to be reported. Further ones are not reported.
const MAX_PENDING: usize = 16_384;
/// Maximum number of streams of one report, whose message then takes about 32 KB.
const MAX_REPORTED: usize = 4_096;
/// Time limit of a question to a control VM, which answers at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pauses before the questions for a stream. One that no control VM knows may have been reported just now,
/// and is asked for once more; too few answers are asked for again, since the links of an entry that has
/// just started may not be up.
const QUESTION_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(250),
    Duration::from_millis(400),
];
/// Questions for a stream that a quorum of the control VMs does not know.
const QUESTIONS: usize = 2;
/// Stands for a stream that its caller does not name; no request has this key in practice.
const UNNAMED_STREAM: StreamKey = 0;

#[derive(Default)]
struct OriginState {
    /// The streams that this entry has begun or resumed.
    own: OriginTable,
    history: SoftwareHistory,
    /// Streams that have not been reported; at most [`MAX_PENDING`].
    pending: BTreeMap<StreamKey, StreamOrigin>,
    /// Number of entries.
    entries: u32,
    /// The control VMs.
    control: Vec<VmId>,
}

impl OriginState {
    fn report(&mut self, stream: StreamKey, origin: &StreamOrigin) {
        if self.pending.len() < MAX_PENDING {
            self.pending.insert(stream, origin.clone());
        }
    }
}

/// The streams of this entry, and the way to those of others.
pub struct OriginClient {
    network: PeerNetwork,
    /// The control VM that this entry follows.
    followed: watch::Receiver<Option<VmId>>,
    state: Mutex<OriginState>,
    changed: Notify,
}

impl OriginClient {
    /// Creates a client that knows no streams.
    pub fn new(network: PeerNetwork, followed: watch::Receiver<Option<VmId>>) -> Self {
        OriginClient { network, followed, state: Mutex::default(), changed: Notify::new() }
    }

    /// Applies a server list, the control VMs and the number of entries. When a second version of a
    /// service appears, the streams that have begun before are reported.
    pub fn apply<'a>(
        &self,
        servers: impl Iterator<Item = (&'a ServiceId, &'a SoftwareVersion)> + Clone,
        control: &[VmId],
        entries: u32,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        state.control = control.to_vec();
        state.entries = entries;
        let services: BTreeSet<&ServiceId> = servers.clone().map(|(service, _)| service).collect();
        let is_several = |state: &OriginState, service: &ServiceId| {
            state.history.state(now, service) == VersionState::Several
        };
        let before: Vec<bool> =
            services.iter().map(|service| is_several(&state, service)).collect();
        state.history.record(now, servers);
        let has_new = services
            .iter()
            .zip(before)
            .any(|(service, before)| !before && is_several(&state, service));
        if has_new {
            for OriginReport { origin, streams } in state.own.all(now) {
                streams.into_iter().for_each(|stream| state.report(stream, &origin));
            }
            self.changed.notify_one();
        }
    }

    /// Sends reports to the followed control VM; never returns.
    pub async fn run_reports(self: Arc<Self>) {
        loop {
            self.changed.notified().await;
            let followed = self.followed.borrow().clone();
            if let Some(control) = followed {
                let origins = self.take_pending();
                if !origins.is_empty() {
                    let message = PeerMessage::StreamOrigins { origins, is_copy: false };
                    self.network.send(&control, message);
                }
            }
            let (entries, is_waiting) = {
                let state = self.lock();
                (state.entries, !state.pending.is_empty())
            };
            if is_waiting {
                self.changed.notify_one();
            }
            sleep(REPORT_PAUSE.max(REPORT_PAUSE_PER_ENTRY * entries)).await;
        }
    }

    fn take_pending(&self) -> Vec<OriginReport> {
        let mut state = self.lock();
        let mut reports: BTreeMap<StreamOrigin, Vec<StreamKey>> = BTreeMap::new();
        for _ in 0..MAX_REPORTED {
            let Some((stream, origin)) = state.pending.pop_first() else { break };
            reports.entry(origin).or_default().push(stream);
        }
        reports.into_iter().map(|(origin, streams)| OriginReport { origin, streams }).collect()
    }

    /// Asks all control VMs for a stream; returns the first origin, or all answers without one and the
    /// number of those that were asked.
    async fn ask(
        &self,
        service: &ServiceId,
        stream: StreamKey,
    ) -> Result<StreamOrigin, (Vec<VersionState>, usize)> {
        let control = self.lock().control.clone();
        let asked = control.iter().map(|vm| {
            let request = PeerRequest::StreamOrigin { service: service.clone(), stream };
            self.network.call(vm, request, ANSWER_TIMEOUT)
        });
        let mut replies: FuturesUnordered<_> = asked.collect();
        let mut states = Vec::new();
        while let Some(reply) = replies.next().await {
            let Ok(PeerReply::StreamOrigin(OriginAnswer { origin, versions })) = reply else {
                continue;
            };
            match origin {
                Some(origin) => return Ok(origin),
                None => states.push(versions),
            }
        }
        Err((states, control.len()))
    }

    /// What this entry knows of the versions of a service, and the only one that it lists.
    fn own_versions(&self, service: &ServiceId) -> (VersionState, Option<SoftwareVersion>) {
        let state = self.lock();
        let versions = state.history.state(Instant::now(), service);
        (versions, state.history.only_version(service).cloned())
    }

    /// Finds out where a stream can go on; `None` stands for one that its caller does not name.
    async fn find_stream(&self, service: &ServiceId, stream: Option<StreamKey>) -> ResumeTarget {
        let is_named = stream.is_some();
        let stream = stream.unwrap_or(UNNAMED_STREAM);
        if let Some(origin) = self.lock().own.find(Instant::now(), stream) {
            return ResumeTarget::Origin(origin.clone());
        }
        for (number, delay) in QUESTION_DELAYS.into_iter().enumerate() {
            sleep(delay).await;
            let (states, asked) = match self.ask(service, stream).await {
                Ok(origin) => return ResumeTarget::Origin(origin),
                Err(answers) => answers,
            };
            let (own, only_version) = self.own_versions(service);
            let target = match unknown_target(own, &states, asked, is_named) {
                // Another version may be listed until the request is placed.
                ResumeTarget::AnyServer => {
                    only_version.map_or(ResumeTarget::Unknown, ResumeTarget::OnlyVersion)
                }
                target => target,
            };
            let is_settled = number + 1 >= QUESTIONS && is_quorum(states.len(), asked);
            if target != ResumeTarget::Unknown || is_settled {
                return target;
            }
        }
        ResumeTarget::Unknown
    }

    fn lock(&self) -> MutexGuard<'_, OriginState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where a stream can go on that nobody knows, by what this entry and the control VMs know of the
/// service's versions; `asked` is the number of control VMs.
///
/// An entry that hears less than a quorum of them may be out of step with the others: a version that it
/// has not heard of may have begun the stream. If all have just started, a version that is not listed any
/// more may have begun one that `is_named`: it would be known if it had begun later. A stream that its
/// caller does not name goes on then, as nothing could be known of it.
pub fn unknown_target(
    own: VersionState,
    control: &[VersionState],
    asked: usize,
    is_named: bool,
) -> ResumeTarget {
    let has = |sought| control.iter().chain([&own]).any(|state| *state == sought);
    let is_one = !has(VersionState::Several) && (has(VersionState::One) || !is_named);
    match is_one && is_quorum(control.len(), asked) {
        true => ResumeTarget::AnyServer,
        false => ResumeTarget::Unknown,
    }
}

fn is_quorum(answers: usize, asked: usize) -> bool {
    2 * answers > asked
}

impl OriginFinder for OriginClient {
    fn record(&self, request: &RequestId, origin: StreamOrigin) {
        let (now, stream) = (Instant::now(), stream_key(request));
        let mut state = self.lock();
        state.own.record(now, stream, &origin);
        if state.history.state(now, &origin.service) != VersionState::One {
            state.report(stream, &origin);
            drop(state);
            self.changed.notify_one();
        }
    }

    fn find(
        self: Arc<Self>,
        service: ServiceId,
        resumed: ResumedStream,
    ) -> BoxFuture<'static, ResumeTarget> {
        Box::pin(async move {
            let stream = resumed.first_request.as_ref().map(stream_key);
            self.find_stream(&service, stream).await
        })
    }
}
