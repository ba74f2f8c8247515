//! The log of a daemon's process: where it says that it listens, its last lines, and a copy.

use {
    serde_json::Value,
    std::{
        collections::VecDeque,
        env, fs,
        fs::File,
        io::{BufRead, BufReader, Write},
        net::SocketAddr,
        path::PathBuf,
        process::ChildStderr,
        sync::{Arc, Mutex},
    },
    tokio::sync::oneshot,
};

/// Log lines kept of each daemon for a failed test.
const TAIL_LINES: usize = 30;
/// Names a folder in which the daemons' whole logs outlive the test.
const LOG_FOLDER: &str = "OLEANDERMOUNT_TEST_LOGS";

/// The last lines of a daemon's log.
pub type LogTail = Arc<Mutex<VecDeque<String>>>;

/// Where a daemon listens.
#[derive(Clone, Copy)]
pub struct DaemonPorts {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// The file that a daemon's log is copied to, if a folder is named for it.
pub fn log_copy(vm: &str, process: u32) -> Option<File> {
    let folder = PathBuf::from(env::var_os(LOG_FOLDER)?);
    fs::create_dir_all(&folder).expect("the folder of the logs can be made");
    Some(File::create(folder.join(format!("{vm}-{process}.log"))).expect("it is writable"))
}

/// Reads a daemon's log to its end, or the daemon would stand still at a full pipe.
pub fn read_log(
    lines: ChildStderr,
    mut copy: Option<File>,
    tail: &LogTail,
    ports: oneshot::Sender<DaemonPorts>,
) {
    let mut ports = Some(ports);
    for line in BufReader::new(lines).lines().map_while(Result::ok) {
        if let Some(found) = serving_ports(&line)
            && let Some(ports) = ports.take()
        {
            // The test may have given up.
            let _ = ports.send(found);
        }
        if let Some(copy) = &mut copy {
            writeln!(copy, "{line}").expect("the copy of the log is writable");
        }
        let mut tail = tail.lock().expect("no holder panics");
        tail.push_back(line);
        if tail.len() > TAIL_LINES {
            tail.pop_front();
        }
    }
}

fn serving_ports(line: &str) -> Option<DaemonPorts> {
    let line: Value = serde_json::from_str(line).ok()?;
    let port = |name: &str| line[name].as_str()?.parse().ok();
    let (callers, operators, peers) = (port("callers")?, port("operators")?, port("peers")?);
    Some(DaemonPorts { callers, operators, peers })
}
