//! Puts the state that an entry follows in force.

use {
    super::RouteParser,
    crate::{
        control::document::body_digest,
        follow::SharedState,
        ids::{DocumentNumber, ServiceId},
        observe::{events, metrics::CONFIG_REVISION},
        policy::{PolicyInput, pacing::DaemonCount},
        reverse_proxy::{ProxyCore, view::ProxyView},
        roles::{
            control_directory::ControlDirectory, origin_client::OriginClient,
            required_weights::RequiredWeights, slot_arbiter::SlotArbiter,
            usage_client::UsageClient,
        },
        routing::{ParsedTable, RouteIndex},
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant as StdInstant},
    },
    tokio::{sync::watch, time::sleep_until},
};

/// How often the state is applied again when nothing has changed, which also closes connections that
/// were idle for too long.
const REAPPLY_INTERVAL: Duration = Duration::from_secs(5);

/// Puts each new state from the control VMs in force.
pub(super) struct StateApplier {
    pub(super) core: Arc<ProxyCore>,
    pub(super) directory: Arc<ControlDirectory>,
    pub(super) arbiter: Arc<SlotArbiter>,
    pub(super) usage: Arc<UsageClient>,
    pub(super) origins: Arc<OriginClient>,
    pub(super) parser: Arc<dyn RouteParser>,
    /// Whether servers that have just started have a pace.
    pub(super) is_paced: bool,
}

impl StateApplier {
    /// Applies states until one of the channels is closed.
    pub(super) async fn run(
        self,
        mut states: watch::Receiver<SharedState>,
        mut retry_reserve: watch::Receiver<f64>,
    ) {
        let mut routes = RouteCache::default();
        let mut requirements = RequiredWeights::default();
        let mut entry_count = DaemonCount::default();
        loop {
            let due =
                requirements.next_change().unwrap_or_else(|| StdInstant::now() + REAPPLY_INTERVAL);
            tokio::select! {
                changed = states.changed() => if changed.is_err() { return },
                changed = retry_reserve.changed() => if changed.is_err() { return },
                () = sleep_until(due.into()) => {}
            }
            let state = states.borrow_and_update().clone();
            let now = StdInstant::now();
            let required = requirements.update(now, &state.weights_named_at, state.term);
            let index =
                routes.index_for(state.document.number, &state.document.body, &*self.parser);
            let fleet = state.fleet.unwrap_or_default();
            let entries = state.entries.max(1);
            let sharing = entry_count.update(StdInstant::now(), entries as usize);
            let retries = *retry_reserve.borrow_and_update() / sharing as f64;
            self.core.dispatcher.notify(PolicyInput::RetryReserve { retries });
            let view = ProxyView::new(index, &fleet, &state.weights, &required, entries)
                .with_begin_limits(requirements.begin_limits());
            let arbiters = view.servers.values().filter_map(|server| server.arbiter.as_ref());
            self.directory.set_arbiters(arbiters);
            let memory = |service: &ServiceId| view.engine_memory(service);
            if self.is_paced {
                self.arbiter.pace_services(self.paced_services(&view));
            }
            self.arbiter.configure(&self.core.vm, &view.servers, memory);
            self.usage.configure(&view, sharing);
            let servers = view.servers.values().map(|server| (&server.service, &server.software));
            self.origins.apply(servers, &state.control, entries);
            self.core.apply(view);
        }
    }

    /// The services whose servers get a pace when they start: all requests to them need leases, and answers
    /// to them are compared with predictions.
    fn paced_services(&self, view: &ProxyView) -> BTreeSet<ServiceId> {
        let services = view.servers.values().map(|server| &server.service);
        let paced = services.filter(|service| self.core.is_contended(service));
        paced.cloned().collect()
    }
}

/// The routes in force. Each document is parsed once.
#[derive(Default)]
struct RouteCache {
    number: DocumentNumber,
    index: Option<Arc<RouteIndex>>,
}

impl RouteCache {
    fn index_for(
        &mut self,
        number: DocumentNumber,
        body: &str,
        parser: &dyn RouteParser,
    ) -> Option<Arc<RouteIndex>> {
        if number > self.number {
            let began = StdInstant::now();
            match parser.parse(body) {
                Ok(ParsedTable { table, fault }) => {
                    // An earlier release may have accepted a document that this one would refuse. It
                    // is in force until it is replaced.
                    if let Some(fault) = fault {
                        log::warn!(document = number, fault:% = fault; "the accepted document has a fault");
                    }
                    let routes = table.routes.len();
                    self.index = Some(Arc::new(RouteIndex::new(Arc::new(table))));
                    let parse_ms = began.elapsed().as_millis() as u64;
                    log::info!(document = number, digest = body_digest(body), routes = routes,
                        parse_ms = parse_ms; "{}", events::ROUTES_ACTIVATED);
                    metrics::gauge!(CONFIG_REVISION).set(number as f64);
                }
                // Documents are parsed before they are accepted, so another release accepted it.
                Err(fault) => log::error!(document = number, fault:% = fault;
                    "an accepted document cannot be parsed by this release; the previous routes stay in force"),
            }
            self.number = number;
        }
        self.index.clone()
    }
}
