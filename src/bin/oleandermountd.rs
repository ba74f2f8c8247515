//! The daemon: parses options and runs until it is told to stop.

use {
    oleandermount::{
        daemon::{Daemon, Serving, Starting},
        observe::logs,
        options::DaemonOptions,
    },
    std::{io, process},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// The exit code of a daemon that could not start.
const START_FAILED: i32 = 1;
/// The exit code of a shutdown that cut requests off.
const REQUESTS_CUT: i32 = 3;

fn main() {
    let options = DaemonOptions::from_process().unwrap_or_else(|error| {
        process::exit(error.report());
    });
    logs::install(options.runtime.log_level);
    options.runtime.disabled.warn_if_any();
    let runtime = tokio::runtime::Runtime::new().unwrap_or_else(|error| {
        eprintln!("oleandermountd: no runtime: {error}; allow the process more threads");
        process::exit(START_FAILED);
    });
    let code = runtime.block_on(run(Daemon::new(options)));
    process::exit(code);
}

async fn run(daemon: Daemon<Starting>) -> i32 {
    let started = match Signals::new() {
        Ok(signals) => daemon.start().await.map(|daemon| (daemon, signals)),
        Err(error) => {
            eprintln!("oleandermountd: signals cannot be received: {error}");
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

/// The signals that a daemon obeys.
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

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.reload.recv() => SignalAction::ReloadKeys,
        }
    }

    async fn stop(&mut self) {
        while self.next().await != SignalAction::Stop {}
    }
}

/// What a signal orders.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SignalAction {
    Stop,
    ReloadKeys,
}

async fn serve(daemon: Daemon<Serving>, mut signals: Signals) -> i32 {
    while signals.next().await == SignalAction::ReloadKeys {
        daemon.reload_keys();
    }
    // The first signal drains; a second one ends the wait and says what was cut.
    let report = daemon.drain().finish(signals.stop()).await;
    if report.cut > 0 { REQUESTS_CUT } else { 0 }
}
