//! The daemon: parses options and serves requests until a signal stops it.

use {
    oleandermount::{
        daemon::{Daemon, Serving, Starting},
        observe::logs,
        options::DaemonOptions,
    },
    std::{io, process},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Exit code if the daemon cannot start.
const START_FAILED: i32 = 1;
/// Exit code if the shutdown aborted requests.
const REQUESTS_ABORTED: i32 = 3;

fn main() {
    let options = DaemonOptions::from_process().unwrap_or_else(|error| {
        process::exit(error.report());
    });
    logs::install(options.runtime.log_level);
    options.runtime.disabled.warn_if_any();
    let runtime = tokio::runtime::Runtime::new().unwrap_or_else(|error| {
        eprintln!(
            "oleandermountd: cannot start the runtime: {error}; allow the process more threads"
        );
        process::exit(START_FAILED);
    });
    let code = runtime.block_on(run(Daemon::new(options)));
    process::exit(code);
}

async fn run(daemon: Daemon<Starting>) -> i32 {
    let started = match Signals::new() {
        Ok(signals) => daemon.start().await.map(|daemon| (daemon, signals)),
        Err(error) => {
            eprintln!("oleandermountd: cannot install signal handlers: {error}");
            return START_FAILED;
        }
    };
    match started {
        Ok((daemon, signals)) => serve(daemon, signals).await,
        Err(error) => {
            eprintln!("oleandermountd: {error}");
            START_FAILED
        }
    }
}

/// Streams of the signals that the daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    async fn next_action(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.reload.recv() => SignalAction::ReloadKeys,
        }
    }

    async fn wait_for_stop(&mut self) {
        while self.next_action().await != SignalAction::Stop {}
    }
}

/// Action requested by a signal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SignalAction {
    Stop,
    ReloadKeys,
}

async fn serve(daemon: Daemon<Serving>, mut signals: Signals) -> i32 {
    while signals.next_action().await == SignalAction::ReloadKeys {
        daemon.reload_keys();
    }
    // The first signal starts a drain; the second one ends it and aborts the remaining requests.
    let report = daemon.drain().finish(signals.wait_for_stop()).await;
    if report.cut > 0 { REQUESTS_ABORTED } else { 0 }
}
