//! Reads the log of a daemon process: the addresses it listens on, its last lines, and an optional
//! copy.

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

/// Log lines of each daemon that are kept for the output of a failed test.
const TAIL_LINES: usize = 30;
/// The environment variable with the folder for copies of the daemons' logs.
const LOG_FOLDER_VARIABLE: &str = "OLEANDERMOUNT_TEST_LOGS";

/// The last lines of a daemon's log.
pub type LogTail = Arc<Mutex<VecDeque<String>>>;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy)]
pub struct DaemonPorts {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// The file for the copy of a daemon's log; `None` if no folder is set.
pub fn log_copy(vm: &str, process: u32) -> Option<File> {
    let folder = PathBuf::from(env::var_os(LOG_FOLDER_VARIABLE)?);
    fs::create_dir_all(&folder).expect("the log folder can be created");
    Some(
        File::create(folder.join(format!("{vm}-{process}.log")))
            .expect("the log folder is writable"),
    )
}

/// Reads a daemon's log to its end; otherwise the daemon would block when the pipe is full.
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
            // Fails only when the test no longer waits.
            let _ = ports.send(found);
        }
        if let Some(copy) = &mut copy {
            writeln!(copy, "{line}").expect("the copy of the log is writable");
        }
        let mut tail = tail.lock().expect("the mutex is not poisoned");
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
