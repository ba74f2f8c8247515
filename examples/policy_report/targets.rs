//! Target values of the policy. Each is printed with its median and worst value over several seeds,
//! and with whether the worst value meets it.

use {
    super::harness::{
        PolicyName,
        baseline_router::BaselineRule,
        callers::CallerRecord,
        load_scenario::{HOT_ORGANISATION, LoadName},
        run_metrics::{BATCH, CallerMetrics, INTERACTIVE, ReportClass, RunMetrics, ratio},
        site::{ORGANISATION_SHARES, SiteName},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Runs one load under one policy; the last argument is the seed.
pub type ScenarioRunner<'a> = dyn Fn(SiteName, LoadName, PolicyName, u64) -> RunMetrics + 'a;

/// Required bound of a value.
#[derive(Clone, Copy, Debug)]
pub enum TargetBound {
    /// The value must not exceed this bound.
    AtMost(f64),
    /// The value must not fall below this bound.
    AtLeast(f64),
    /// The value is printed without a bound.
    ReportOnly,
}

/// Value of one target for one seed.
struct TargetValue {
    name: String,
    limit: TargetBound,
    value: f64,
}

/// Results of all loads and policies for one seed.
struct SeedRuns {
    runs: BTreeMap<(LoadName, PolicyName), RunMetrics>,
}

/// Runs `seeds` at `site` and returns the lines of the table.
pub fn target_lines(
    site: SiteName,
    seeds: std::ops::Range<u64>,
    run: &ScenarioRunner<'_>,
) -> Vec<String> {
    let mut order = Vec::new();
    let mut values: BTreeMap<String, (TargetBound, Vec<f64>)> = BTreeMap::new();
    for seed in seeds {
        for target in SeedRuns::new(site, seed, run).values() {
            if !values.contains_key(&target.name) {
                order.push(target.name.clone());
            }
            values.entry(target.name).or_insert((target.limit, Vec::new())).1.push(target.value);
        }
    }
    let header = format!("{:<58} {:>9} {:>9} {:>9}  met", "aim", "limit", "median", "worst");
    let lines = order.iter().map(|name| {
        let (limit, values) = &values[name];
        target_line(name, *limit, values.clone())
    });
    std::iter::once(header).chain(lines).collect()
}

fn target_line(name: &str, limit: TargetBound, mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let median = (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0;
    let (first, last) = (values[0], values[values.len() - 1]);
    let (limit, worst, met) = match limit {
        TargetBound::AtMost(most) => {
            (format!("<= {most}"), last, if last <= most { "yes" } else { "NO" })
        }
        TargetBound::AtLeast(least) => {
            (format!(">= {least}"), first, if first >= least { "yes" } else { "NO" })
        }
        TargetBound::ReportOnly => (String::new(), last, ""),
    };
    format!("{name:<58} {limit:>9} {median:>9.3} {worst:>9.3}  {met}")
}

impl SeedRuns {
    fn new(site: SiteName, seed: u64, run: &ScenarioRunner<'_>) -> Self {
        let mut runs = BTreeMap::new();
        for load in LoadName::ALL {
            for policy in PolicyName::ALL {
                runs.insert((load, policy), run(site, load, policy, seed));
            }
        }
        SeedRuns { runs }
    }

    fn values(&self) -> Vec<TargetValue> {
        let mut values = Vec::new();
        for load in [LoadName::Steady, LoadName::MixedSpeeds] {
            values.extend(self.first_token_targets(load, 0.7));
            values.extend(self.reuse_targets(load));
        }
        for load in [LoadName::Burst, LoadName::HotPrefixShift] {
            values.extend(self.first_token_targets(load, 0.5));
        }
        values.extend(self.hot_caller_targets());
        values.extend(self.control_targets());
        values.extend(self.overload_targets());
        values.extend(self.failure_targets());
        let violations = self.runs.iter().filter(|((_, policy), _)| *policy == PolicyName::Chosen);
        let violations =
            violations.map(|(_, run_metrics)| run_metrics.violations.len()).sum::<usize>() as f64;
        values.push(at_most("all loads: sent or streamed twice", 0.0, violations));
        values
    }

    fn run(&self, load: LoadName, policy: PolicyName) -> &RunMetrics {
        &self.runs[&(load, policy)]
    }

    fn chosen(&self, load: LoadName) -> &RunMetrics {
        self.run(load, PolicyName::Chosen)
    }

    fn interactive(&self, load: LoadName, policy: PolicyName) -> CallerMetrics {
        self.run(load, policy).class_metrics(INTERACTIVE)
    }

    /// Returns the smallest value of a metric over the baseline routers.
    fn best_baseline(&self, load: LoadName, metric: impl Fn(CallerMetrics) -> f64) -> f64 {
        let baselines = PolicyName::ALL.into_iter().filter(|policy| *policy != PolicyName::Chosen);
        baselines.map(|policy| metric(self.interactive(load, policy))).fold(f64::INFINITY, f64::min)
    }

    fn first_token_targets(&self, load: LoadName, limit: f64) -> Vec<TargetValue> {
        let name = load.as_str();
        let chosen = self.interactive(load, PolicyName::Chosen);
        let answered =
            seconds(chosen.p99) / self.best_baseline(load, |baseline| seconds(baseline.p99));
        let misses = seconds(chosen.p99_misses)
            / self.best_baseline(load, |baseline| seconds(baseline.p99_misses));
        let best = -self.best_baseline(load, |baseline| -baseline.goodput());
        vec![
            at_most(&format!("{name}: interactive p99 / best baseline"), limit, answered),
            report_only(&format!("{name}: the same, misses counted"), misses),
            at_least(
                &format!("{name}: goodput - best baseline's"),
                -GOODPUT_SLACK,
                chosen.goodput() - best,
            ),
            report_only(&format!("{name}: interactive p99, ms"), seconds(chosen.p99) * 1_000.0),
        ]
    }

    fn reuse_targets(&self, load: LoadName) -> Vec<TargetValue> {
        let name = load.as_str();
        let chosen = self.chosen(load).total_prompt_work();
        let prefix_hash =
            self.run(load, PolicyName::Baseline(BaselineRule::PrefixHash)).total_prompt_work();
        let least_loaded =
            self.run(load, PolicyName::Baseline(BaselineRule::LeastLoaded)).total_prompt_work();
        let gain =
            ratio(chosen.cached, chosen.prompt) - ratio(prefix_hash.cached, prefix_hash.prompt);
        let recomputed_by_hash = ratio(chosen.recomputed, prefix_hash.recomputed);
        let recomputed_by_least = ratio(chosen.recomputed, least_loaded.recomputed);
        vec![
            at_least(&format!("{name}: hit rate - prefix hash's"), 0.0, gain),
            at_most(&format!("{name}: recomputed / prefix hash's"), 1.05, recomputed_by_hash),
            at_most(&format!("{name}: recomputed / least loaded's"), 0.5, recomputed_by_least),
        ]
    }

    fn hot_caller_targets(&self) -> Vec<TargetValue> {
        let with = self.chosen(LoadName::HotCaller);
        let without = self.chosen(LoadName::Steady);
        let organisations =
            (0..ORGANISATION_SHARES.len()).filter(|index| *index != HOT_ORGANISATION);
        let p99 = |run_metrics: &RunMetrics, wanted: &dyn Fn(usize) -> bool| {
            let callers: Vec<&CallerRecord> = run_metrics
                .callers_of_class(INTERACTIVE)
                .into_iter()
                .filter(|caller| wanted(caller.request.organisation))
                .collect();
            let metrics = CallerMetrics::of(&callers);
            (seconds(metrics.p99), metrics.goodput())
        };
        let worst = organisations
            .map(|organisation| {
                p99(with, &|index| index == organisation).0
                    / p99(without, &|index| index == organisation).0
            })
            .fold(0.0, f64::max);
        let others = |index: usize| index != HOT_ORGANISATION;
        let (all, goodput) = p99(with, &others);
        vec![
            at_most("hot_caller: worst other organisation's p99 / without", 1.2, worst),
            report_only("hot_caller: all others' p99 / without", all / p99(without, &others).0),
            report_only("hot_caller: 1 - others' goodput", 1.0 - goodput),
        ]
    }

    fn control_targets(&self) -> Vec<TargetValue> {
        let p99 = |load| seconds(self.interactive(load, PolicyName::Chosen).p99);
        let slow = p99(LoadName::SlowServer) / p99(LoadName::SlowServerAbsent);
        let long = p99(LoadName::LongAmongShort) / p99(LoadName::LongJobsAbsent);
        let goodput = |load| self.interactive(load, PolicyName::Chosen).goodput();
        let slow_loss = goodput(LoadName::SlowServerAbsent) - goodput(LoadName::SlowServer);
        let long_loss = goodput(LoadName::LongJobsAbsent) - goodput(LoadName::LongAmongShort);
        let batch = self.chosen(LoadName::LongAmongShort).class_metrics(BATCH);
        vec![
            at_most("slow_server: interactive p99 / without the server", 1.3, slow),
            report_only("slow_server: interactive goodput lost", slow_loss),
            at_most("long_among_short: interactive p99 / without long jobs", 1.3, long),
            report_only("long_among_short: interactive goodput lost", long_loss),
            at_least(
                "long_among_short: long jobs answered / asked",
                0.99,
                ratio(batch.answered, batch.requests),
            ),
        ]
    }

    fn overload_targets(&self) -> Vec<TargetValue> {
        let overload = self.chosen(LoadName::Overload);
        let saturation = self.chosen(LoadName::Saturation);
        let in_time = |run_metrics: &RunMetrics| {
            model_callers(run_metrics).filter(|c| c.in_time()).count() as u64
        };
        let tokens = |run_metrics: &RunMetrics| {
            model_callers(run_metrics).filter(|c| c.in_time()).map(|c| c.tokens()).sum::<u64>()
        };
        let mut delays: Vec<Duration> =
            model_callers(overload).flat_map(|c| c.refusal_delays.iter().copied()).collect();
        let immediate = delays.iter().filter(|delay| **delay <= IMMEDIATE_REFUSAL).count() as u64;
        let share = ratio(immediate, delays.len() as u64);
        let slowest = super::harness::run_metrics::percentile(&mut delays, 0.99);
        let (first, later) = retry_goodput(overload);
        vec![
            at_least(
                "overload: goodput / at saturation",
                0.95,
                ratio(in_time(overload), in_time(saturation)),
            ),
            report_only(
                "overload: tokens answered in time / at saturation",
                ratio(tokens(overload), tokens(saturation)),
            ),
            report_only("overload: share refused within 10 ms of the ask", share),
            report_only("overload: p99 from ask to refusal, s", seconds(slowest)),
            report_only("overload: first asks answered in time", first),
            report_only("overload: requests that came back answered in time", later),
        ]
    }

    fn failure_targets(&self) -> Vec<TargetValue> {
        let crash = self.chosen(LoadName::CrashRequest);
        let unanswered = |run_metrics: &RunMetrics| {
            run_metrics.measured_callers().filter(|c| c.first_token_latency().is_none()).count()
                as f64
        };
        let lost = f64::from(crash.servers_lost);
        let sends = |load| self.chosen(load).sends_per_request();
        vec![
            at_most("crash_request: servers lost", 2.0, lost),
            at_most("crash_request: innocent requests unanswered", 0.0, unanswered(crash)),
            at_most("restart_herd: sent / asked", 1.1, sends(LoadName::RestartHerd)),
            report_only("restart_herd: unanswered", unanswered(self.chosen(LoadName::RestartHerd))),
            at_most("cut_domain: sent / asked", 1.1, sends(LoadName::CutDomain)),
            report_only("cut_domain: unanswered", unanswered(self.chosen(LoadName::CutDomain))),
        ]
    }
}

/// Maximum by which goodput may fall below that of the best baseline router: a few requests of a
/// run. First-token latencies are comparable only at similar goodput.
const GOODPUT_SLACK: f64 = 0.005;
/// Maximum time from the submission to a refusal that counts as immediate.
const IMMEDIATE_REFUSAL: Duration = Duration::from_millis(10);

/// Returns the share of interactive requests answered in time at the first submission, and the
/// share of retried ones answered in time.
fn retry_goodput(run_metrics: &RunMetrics) -> (f64, f64) {
    let callers = run_metrics.callers_of_class(INTERACTIVE);
    let first = callers.iter().filter(|c| c.submissions == 1 && c.in_time()).count() as u64;
    let retried = callers.iter().filter(|c| c.submissions > 1).count() as u64;
    let later = callers.iter().filter(|c| c.submissions > 1 && c.in_time()).count() as u64;
    (ratio(first, callers.len() as u64), ratio(later, retried))
}

fn model_callers(run_metrics: &RunMetrics) -> impl Iterator<Item = &CallerRecord> {
    run_metrics
        .measured_callers()
        .filter(|caller| ReportClass::of(&caller.request) != ReportClass::Service)
}

fn at_most(name: &str, most: f64, value: f64) -> TargetValue {
    TargetValue { name: name.into(), limit: TargetBound::AtMost(most), value }
}

fn at_least(name: &str, least: f64, value: f64) -> TargetValue {
    TargetValue { name: name.into(), limit: TargetBound::AtLeast(least), value }
}

fn report_only(name: &str, value: f64) -> TargetValue {
    TargetValue { name: name.into(), limit: TargetBound::ReportOnly, value }
}

/// Converts to seconds. A missing percentile counts as infinity, since no request was answered.
fn seconds(time: Option<Duration>) -> f64 {
    time.map_or(f64::INFINITY, |time| time.as_secs_f64())
}
