//! Named load scenarios: a site with its traffic and faults.

use {
    super::{
        site::{SiteName, SitePlan},
        traffic::{
            CallerRequest, CallerWork, TrafficMix, TrafficSpec, first_token_limit,
            generate_service_calls, generate_traffic,
        },
    },
    oleandermount::{inventory::RequestClass, policy::PrefixLevel},
    std::time::Duration,
};

/// Capacity of each site in model requests per second and engine: the approximate load above which
/// goodput under the dispatcher stops growing.
const TUUL_CAPACITY: f64 = 4.5;
const ABAY_CAPACITY: f64 = 2.8;
/// Steady load of each site as a share of its capacity: the highest load that all baseline routers
/// can serve.
const TUUL_STEADY_SHARE: f64 = 0.45;
const ABAY_STEADY_SHARE: f64 = 0.32;
/// Share of the steady load that runs beside the long jobs. It causes about as much prompt work as
/// the long jobs.
const LONG_JOBS_BASE_SHARE: f64 = 0.75;
/// Rate of the long jobs as a share of the capacity.
const LONG_JOBS_SHARE: f64 = 0.04;
/// Default share of cache events that are lost on the way to each daemon.
const CACHE_LOSS: f64 = 0.1;
/// Default delay of a load report.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Small organisation that sends one and a half times the capacity in `hot_caller`.
pub const HOT_ORGANISATION: usize = 6;
/// Index of the server that becomes slow in `slow_server`.
pub const SLOW_SERVER: usize = 1;

/// Fault, or its end, that is injected during a run.
#[derive(Clone, Debug)]
pub enum SiteFault {
    /// Changes the speed of a server.
    SetSpeed { server: usize, speed: f64 },
    /// Makes a server answer each request immediately with an error, or serve again.
    SetFailing { server: usize, failing: bool },
    /// Kills daemons and restarts them with empty state after `downtime`.
    RestartDaemons { daemons: Vec<usize>, downtime: Duration },
    /// Separates a failure domain from the others by a network partition.
    Partition { domain: usize },
    /// Ends the network partition.
    HealPartition,
}

/// Input of a run.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    /// Layout of the site.
    pub plan: SitePlan,
    /// Requests of the callers in order of their first submission.
    pub requests: Vec<CallerRequest>,
    /// Faults with the times at which they are injected.
    pub faults: Vec<(Duration, SiteFault)>,
    /// Requests first submitted before this time are served but not measured, since caches are
    /// empty at the start.
    pub warm_up: Duration,
    /// Share of cache events that are lost on the way to each daemon.
    pub cache_loss: f64,
    /// Delay of a load report.
    pub report_lag: Duration,
    /// Daemons that receive a daemon's digests.
    pub digest_scope: DigestScope,
}

/// Daemons that receive a daemon's digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestScope {
    /// Daemons of the sender's failure domain.
    OwnDomain,
    /// Daemons of the sender's failure domain and up to three daemons of each other failure domain,
    /// which are all daemons at both sites.
    AllDomains,
}

impl LoadScenario {
    /// Adds sessions with `rate` model requests per second from `from` to the end.
    pub fn add_traffic(&mut self, seed: u64, rate: f64, from: Duration, mix: TrafficMix) {
        let until = self.requests.last().map_or(from, |request| request.at);
        let spec = TrafficSpec { purpose: "added", rate, from, until, mix };
        self.requests.extend(generate_traffic(seed, &spec));
        self.requests.sort_by_key(|request| request.at);
    }
}

/// Name of a load scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadName {
    /// The steady load of the site.
    Steady,
    /// Half the steady load with three short bursts of three times the capacity each.
    Burst,
    /// The steady load with one small organisation sending one and a half times the capacity.
    HotCaller,
    /// Half the steady load with as much traffic for five client prompts in turn.
    HotPrefixShift,
    /// The steady load with one server that becomes five times slower.
    SlowServer,
    /// The steady load without the server that is slow in `slow_server`.
    SlowServerAbsent,
    /// Long batch jobs beside a reduced steady load.
    LongAmongShort,
    /// The reduced steady load of `long_among_short` without the long jobs.
    LongJobsAbsent,
    /// A load equal to the capacity.
    Saturation,
    /// A load of twice the capacity.
    Overload,
    /// The steady load with one request that crashes each engine that runs it and is retried.
    CrashRequest,
    /// The steady load with a simultaneous restart of the daemons of a failure domain and later of
    /// all daemons.
    RestartHerd,
    /// The steady load on servers whose speeds differ by up to a factor of four.
    MixedSpeeds,
    /// The steady load with a network partition around one failure domain for two fifths of the
    /// run.
    CutDomain,
}

impl LoadName {
    /// All loads in the order in which the report prints them.
    pub const ALL: [LoadName; 14] = [
        LoadName::Steady,
        LoadName::Burst,
        LoadName::HotCaller,
        LoadName::HotPrefixShift,
        LoadName::SlowServer,
        LoadName::SlowServerAbsent,
        LoadName::LongAmongShort,
        LoadName::LongJobsAbsent,
        LoadName::Saturation,
        LoadName::Overload,
        LoadName::CrashRequest,
        LoadName::RestartHerd,
        LoadName::MixedSpeeds,
        LoadName::CutDomain,
    ];

    /// Returns the name used on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            LoadName::Steady => "steady",
            LoadName::Burst => "burst",
            LoadName::HotCaller => "hot_caller",
            LoadName::HotPrefixShift => "hot_prefix_shift",
            LoadName::SlowServer => "slow_server",
            LoadName::SlowServerAbsent => "slow_server_absent",
            LoadName::LongAmongShort => "long_among_short",
            LoadName::LongJobsAbsent => "long_jobs_absent",
            LoadName::Saturation => "saturation",
            LoadName::Overload => "overload",
            LoadName::CrashRequest => "crash_request",
            LoadName::RestartHerd => "restart_herd",
            LoadName::MixedSpeeds => "mixed_speeds",
            LoadName::CutDomain => "cut_domain",
        }
    }

    /// Generates the scenario for a site from `seed`, with sessions that start within `length`.
    pub fn scenario(self, site: SiteName, seed: u64, length: Duration) -> LoadScenario {
        let mut builder = ScenarioBuilder::new(site, seed, length);
        match self {
            LoadName::Steady => builder.steady(),
            LoadName::Burst => builder.bursts(),
            LoadName::HotCaller => builder.hot_caller(),
            LoadName::HotPrefixShift => builder.hot_clients(),
            LoadName::SlowServer => builder.slow_server(),
            LoadName::SlowServerAbsent => builder.without_slow_server(),
            LoadName::LongAmongShort => builder.long_jobs(),
            LoadName::LongJobsAbsent => builder.steady_beside_long_jobs(),
            LoadName::Saturation => builder.add_site_traffic(1.0),
            LoadName::Overload => builder.add_site_traffic(2.0),
            LoadName::CrashRequest => builder.crash_request(),
            LoadName::RestartHerd => builder.daemon_restarts(),
            LoadName::MixedSpeeds => builder.mixed_speeds(),
            LoadName::CutDomain => builder.cut_domain(),
        }
        builder.build()
    }
}

struct ScenarioBuilder {
    seed: u64,
    site: SiteName,
    length: Duration,
    scenario: LoadScenario,
}

impl ScenarioBuilder {
    fn new(site: SiteName, seed: u64, length: Duration) -> Self {
        let scenario = LoadScenario {
            plan: SitePlan::new(site),
            requests: Vec::new(),
            faults: Vec::new(),
            warm_up: length / 8,
            cache_loss: CACHE_LOSS,
            report_lag: REPORT_LAG,
            digest_scope: DigestScope::AllDomains,
        };
        ScenarioBuilder { seed, site, length, scenario }
    }

    fn build(mut self) -> LoadScenario {
        self.scenario.requests.sort_by_key(|request| request.at);
        self.scenario
    }

    /// Returns the capacity of the site in model requests per second.
    fn capacity_rate(&self) -> f64 {
        let rate = match self.site {
            SiteName::Tuul => TUUL_CAPACITY,
            SiteName::Abay => ABAY_CAPACITY,
        };
        rate * self.scenario.plan.engine_count() as f64
    }

    fn add_sessions(
        &mut self,
        purpose: &'static str,
        share: f64,
        span: (f64, f64),
        mix: TrafficMix,
    ) {
        let spec = TrafficSpec {
            purpose,
            rate: self.capacity_rate() * share,
            from: self.length.mul_f64(span.0),
            until: self.length.mul_f64(span.1),
            mix,
        };
        self.scenario.requests.extend(generate_traffic(self.seed, &spec));
    }

    fn add_site_traffic(&mut self, share: f64) {
        self.add_sessions("usual", share, (0.0, 1.0), TrafficMix::SiteTraffic(self.site));
        let rate = self.capacity_rate() * share;
        self.scenario.requests.extend(generate_service_calls(self.seed, rate, self.length));
    }

    fn steady_share(&self) -> f64 {
        match self.site {
            SiteName::Tuul => TUUL_STEADY_SHARE,
            SiteName::Abay => ABAY_STEADY_SHARE,
        }
    }

    fn steady(&mut self) {
        self.add_site_traffic(self.steady_share());
    }

    fn steady_beside_long_jobs(&mut self) {
        self.add_site_traffic(self.steady_share() * LONG_JOBS_BASE_SHARE);
    }

    fn bursts(&mut self) {
        let steady = self.steady_share();
        self.add_site_traffic(steady / 2.0);
        for (purpose, start) in [("burst 1", 0.25), ("burst 2", 0.5), ("burst 3", 0.75)] {
            let mix = TrafficMix::SiteTraffic(self.site);
            self.add_sessions(purpose, 3.0, (start, start + 0.04), mix);
        }
    }

    fn hot_caller(&mut self) {
        self.steady();
        self.add_sessions("flood", 1.5, (0.25, 0.9), TrafficMix::OneOrganisation(HOT_ORGANISATION));
    }

    fn hot_clients(&mut self) {
        let steady = self.steady_share();
        self.add_site_traffic(steady / 2.0);
        for (index, purpose) in ["hot 0", "hot 1", "hot 2", "hot 3", "hot 4"].iter().enumerate() {
            let start = index as f64 / 5.0;
            // Clients beyond those of the regular traffic, so that no server has computed their
            // prompts.
            let mix = TrafficMix::HotClient(100 + index as u32);
            self.add_sessions(purpose, steady / 2.0, (start, start + 0.2), mix);
        }
    }

    fn slow_server(&mut self) {
        self.steady();
        let fault = SiteFault::SetSpeed { server: SLOW_SERVER, speed: 0.2 };
        self.scenario.faults.push((self.length.mul_f64(0.125), fault));
    }

    fn without_slow_server(&mut self) {
        self.steady();
        self.scenario.plan.servers.remove(SLOW_SERVER);
    }

    fn long_jobs(&mut self) {
        self.steady_beside_long_jobs();
        self.add_sessions("long", LONG_JOBS_SHARE, (0.0, 1.0), TrafficMix::LongJobs);
    }

    fn crash_request(&mut self) {
        self.steady();
        let level = |hash, tokens| PrefixLevel { hash, tokens };
        let levels = vec![level(0xbad, 2_000), level(0xbad1, 5_000), level(0xbad2, 5_200)];
        self.scenario.requests.push(CallerRequest {
            at: self.length.mul_f64(0.2),
            first_daemon: 0,
            organisation: 3,
            class: RequestClass::Interactive,
            first_token_limit: first_token_limit(RequestClass::Interactive),
            repeatable: true,
            work: CallerWork::Model { levels, output_tokens: 100 },
            poison: true,
        });
    }

    fn daemon_restarts(&mut self) {
        self.steady();
        let daemons = self.scenario.plan.daemons.len();
        let domain: Vec<usize> = (0..daemons).filter(|index| index % 3 == 0).collect();
        let downtime = Duration::from_secs(1);
        let restart = |daemons| SiteFault::RestartDaemons { daemons, downtime };
        self.scenario.faults.push((self.length.mul_f64(0.3), restart(domain)));
        self.scenario.faults.push((self.length.mul_f64(0.6), restart((0..daemons).collect())));
    }

    fn mixed_speeds(&mut self) {
        self.steady();
        for (index, placement) in self.scenario.plan.servers.iter_mut().enumerate() {
            // The mean over each four servers is 1.0.
            placement.properties.speed = [1.6, 0.8, 1.2, 0.4][index % 4];
        }
    }

    fn cut_domain(&mut self) {
        self.steady();
        self.scenario.faults.push((self.length.mul_f64(0.3), SiteFault::Partition { domain: 1 }));
        self.scenario.faults.push((self.length.mul_f64(0.7), SiteFault::HealPartition));
    }
}
