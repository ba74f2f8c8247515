//! Simulates the dispatcher and three baseline routers with the same arrivals in virtual time and
//! prints what callers received. The module `harness` describes the model and its limits.

#[path = "harness.rs"]
mod harness;
mod report;
mod targets;

use {
    bpaf::Bpaf,
    harness::{
        PolicyName,
        load_scenario::{DigestScope, LoadName},
        run_metrics::RunMetrics,
        site::SiteName,
    },
    oleandermount::policy::SafeguardSet,
    report::RunLabel,
    std::{io::Write, time::Duration},
};

/// Virtual time in seconds during which sessions start. Each engine fills its cache about forty
/// times in it.
const RUN_LENGTH: u64 = 80;

/// Compares the routing policy with baseline routers in virtual time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct ReportOptions {
    /// Seed of the arrivals, faults and random choices.
    #[bpaf(argument("S"), fallback(1))]
    seed: u64,
    /// Number of consecutive seeds to run, starting at --seed.
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Runs only this load; the default is all loads.
    #[bpaf(argument::<String>("NAME"), parse(parse_load), optional)]
    load: Option<LoadName>,
    /// Site to simulate: tuul or abay.
    #[bpaf(argument::<String>("SITE"), parse(parse_site), fallback(SiteName::Tuul))]
    site: SiteName,
    /// Prints one JSON object per line for each load, policy and class.
    json: bool,
    /// Virtual time in seconds during which sessions start.
    #[bpaf(argument("SECONDS"), fallback(RUN_LENGTH))]
    length: u64,
    /// Safeguards of the dispatcher to switch off, separated by commas.
    #[bpaf(argument("NAMES"), fallback(SafeguardSet::default()))]
    without: SafeguardSet,
    /// Drops all cache events, so that the dispatcher learns cache contents only from answers.
    no_cache_events: bool,
    /// Delivers digests only within the sender's failure domain.
    near_digests: bool,
    /// Prints the target values, each with its median and worst value over the seeds, instead.
    aims: bool,
}

fn parse_load(name: String) -> Result<LoadName, String> {
    LoadName::ALL.into_iter().find(|load| load.as_str() == name).ok_or_else(|| {
        let names: Vec<&str> = LoadName::ALL.iter().map(|load| load.as_str()).collect();
        format!("unknown load {name}; use one of {}", names.join(", "))
    })
}

fn parse_site(name: String) -> Result<SiteName, String> {
    match name.as_str() {
        "tuul" => Ok(SiteName::Tuul),
        "abay" => Ok(SiteName::Abay),
        _ => Err(format!("unknown site {name}; use tuul or abay")),
    }
}

fn main() -> std::io::Result<()> {
    let options = report_options().run();
    let mut out = std::io::stdout().lock();
    let seeds = options.seed..options.seed + options.seeds;
    if options.aims {
        let run = |_, load, policy, seed| run_load(&options, load, policy, seed);
        for line in targets::target_lines(options.site, seeds, &run) {
            writeln!(out, "{line}")?;
        }
        return Ok(());
    }
    if !options.json {
        writeln!(out, "{}", report::table_head())?;
    }
    for seed in seeds {
        for load in LoadName::ALL.into_iter().filter(|l| options.load.is_none_or(|o| o == *l)) {
            for policy in PolicyName::ALL {
                print_run(&mut out, &options, seed, load, policy)?;
            }
        }
    }
    Ok(())
}

fn run_load(options: &ReportOptions, load: LoadName, policy: PolicyName, seed: u64) -> RunMetrics {
    let mut scenario = load.scenario(options.site, seed, Duration::from_secs(options.length));
    if options.no_cache_events {
        scenario.cache_loss = 1.0;
    }
    if options.near_digests {
        scenario.digest_scope = DigestScope::OwnDomain;
    }
    match policy {
        PolicyName::Chosen => harness::run_without(scenario, seed, &options.without),
        PolicyName::Baseline(_) => policy.run(scenario, seed),
    }
}

fn print_run(
    out: &mut impl Write,
    options: &ReportOptions,
    seed: u64,
    load: LoadName,
    policy: PolicyName,
) -> std::io::Result<()> {
    let run_metrics = run_load(options, load, policy, seed);
    let label = RunLabel {
        site: options.site.as_str(),
        load: load.as_str(),
        policy: policy.as_str(),
        seed,
    };
    let lines = match options.json {
        true => report::json_lines(label, &run_metrics),
        false => report::table_rows(label, &run_metrics),
    };
    for line in lines {
        writeln!(out, "{line}")?;
    }
    Ok(())
}
