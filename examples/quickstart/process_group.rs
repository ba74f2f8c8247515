//! Start and stop of the quick start's processes.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Timeout of a daemon's shutdown. A daemon without requests in flight ends immediately; one that
/// takes longer hangs and is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the end of a daemon is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Kind of a process, which determines how it is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// A daemon, which is stopped by SIGTERM and must exit with status 0.
    Daemon,
    /// A fake backend server, which is killed.
    FakeServer,
}

struct RunningProcess {
    name: String,
    kind: ProcessKind,
    child: Child,
}

/// All started processes in the order of their start.
#[derive(Default)]
pub struct ProcessGroup {
    running: Vec<RunningProcess>,
}

impl ProcessGroup {
    /// Starts a process that writes its output to a log file. It gets its own process group, so
    /// that Ctrl-C at the terminal signals only the quick start itself.
    pub fn start(
        &mut self,
        kind: ProcessKind,
        name: &str,
        mut command: Command,
        log: &Path,
    ) -> io::Result<()> {
        let log = File::create(log)?;
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).process_group(0);
        let child = command.spawn()?;
        self.running.push(RunningProcess { name: name.to_owned(), kind, child });
        Ok(())
    }

    /// Starts a fake backend server and returns the address that it prints on its first line.
    pub fn start_fake_server(&mut self, name: &str, mut command: Command) -> io::Result<String> {
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).process_group(0);
        let mut child = command.spawn()?;
        let output = child.stdout.take();
        let kind = ProcessKind::FakeServer;
        self.running.push(RunningProcess { name: name.to_owned(), kind, child });
        let mut line = String::new();
        let output = output
            .ok_or_else(|| io::Error::other("the standard output of a fake server is not piped"))?;
        BufReader::new(output).read_line(&mut line)?;
        match line.trim() {
            "" => Err(io::Error::other(format!("{name} did not start"))),
            address => Ok(address.to_owned()),
        }
    }

    /// Fails if a process has ended; all processes run until they are stopped.
    pub fn check_running(&mut self) -> io::Result<()> {
        for process in &mut self.running {
            if let Some(status) = process.child.try_wait()? {
                return Err(io::Error::other(format!("{} ended with {status}", process.name)));
            }
        }
        Ok(())
    }

    /// Returns the process IDs of one kind, or of all processes.
    pub fn ids(&self, wanted: Option<ProcessKind>) -> Vec<String> {
        self.running
            .iter()
            .filter(|process| wanted.is_none_or(|kind| kind == process.kind))
            .map(|process| process.child.id().to_string())
            .collect()
    }

    /// Stops all processes, daemons first, and waits until each has ended.
    pub async fn stop(mut self) -> io::Result<()> {
        let daemons = self.ids(Some(ProcessKind::Daemon));
        if !daemons.is_empty() {
            let kill_command = format!("kill -TERM {}", daemons.join(" "));
            Command::new("sh").args(["-c", &kill_command]).stderr(Stdio::null()).status()?;
        }
        let mut failed = Vec::new();
        for process in &mut self.running {
            let result = match process.kind {
                ProcessKind::Daemon => wait_or_kill(process).await,
                ProcessKind::FakeServer => process.child.kill().and_then(|()| process.child.wait()),
            };
            match (process.kind, result) {
                (ProcessKind::Daemon, Ok(status)) if !status.success() => {
                    failed.push(format!("{} ended with {status}", process.name));
                }
                (_, Err(error)) => failed.push(format!("{}: {error}", process.name)),
                (_, Ok(_)) => {}
            }
        }
        if failed.is_empty() { Ok(()) } else { Err(io::Error::other(failed.join(", "))) }
    }
}

async fn wait_or_kill(process: &mut RunningProcess) -> io::Result<std::process::ExitStatus> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(status) = process.child.try_wait()? {
            return Ok(status);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    process.child.kill()?;
    process.child.wait()
}
