//! Simulated network failures between daemons, in test builds only: a socket that drops datagrams to
//! and from chosen addresses.
//!
//! The failures are read from the file that [`FAULTS_VARIABLE`] names, again and again while the
//! process runs. Each line is one of `in ADDRESS` and `out ADDRESS`, which drop what that address
//! sends or receives, and `loss SHARE`, which drops a share of all datagrams that are sent.

use {
    arc_swap::ArcSwap,
    quinn::{
        AsyncUdpSocket, Runtime, UdpPoller,
        udp::{RecvMeta, Transmit},
    },
    rand_core::{OsRng, TryRngCore},
    std::{
        collections::BTreeSet,
        env, fs,
        io::{self, IoSliceMut},
        net::{IpAddr, SocketAddr, UdpSocket},
        path::PathBuf,
        pin::Pin,
        str::FromStr,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The environment variable with the path of the file of failures; without it there are none.
pub const FAULTS_VARIABLE: &str = "OLEANDERMOUNT_LINK_FAULTS";
/// How often the file is read.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Failures of the links of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Addresses from which nothing arrives.
    pub blocked_in: BTreeSet<IpAddr>,
    /// Addresses that nothing is sent to.
    pub blocked_out: BTreeSet<IpAddr>,
    /// The share of sent datagrams that are lost, from 0 to 1.
    pub loss: f64,
}

impl FromStr for LinkFaults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut faults = LinkFaults::default();
        for line in text.lines() {
            let unreadable = || format!("unreadable line: {line}; write in, out or loss");
            match line.split_once(' ').ok_or_else(unreadable)? {
                ("in", address) => {
                    faults.blocked_in.insert(address.parse().map_err(|_error| unreadable())?);
                }
                ("out", address) => {
                    faults.blocked_out.insert(address.parse().map_err(|_error| unreadable())?);
                }
                ("loss", share) => faults.loss = share.parse().map_err(|_error| unreadable())?,
                _ => return Err(unreadable()),
            }
        }
        Ok(faults)
    }
}

/// Wraps the socket of an endpoint, if the environment names a file of failures.
///
/// # Errors
/// When the runtime does not accept the socket.
pub fn wrap_socket(
    runtime: &dyn Runtime,
    socket: UdpSocket,
) -> io::Result<Arc<dyn AsyncUdpSocket>> {
    let inner = runtime.wrap_udp_socket(socket)?;
    let Some(path) = env::var_os(FAULTS_VARIABLE) else { return Ok(inner) };
    log::warn!(file:% = path.display(); "failures of the network are simulated");
    let faults: Arc<ArcSwap<LinkFaults>> = Arc::default();
    tokio::spawn(read_faults(PathBuf::from(path), Arc::clone(&faults)));
    Ok(Arc::new(FaultySocket { inner, faults }))
}

async fn read_faults(path: PathBuf, faults: Arc<ArcSwap<LinkFaults>>) {
    let mut applied = String::new();
    loop {
        // A missing file means no failures.
        let text = fs::read_to_string(&path).unwrap_or_default();
        if text != applied {
            match text.parse() {
                Ok(changed) => faults.store(Arc::new(changed)),
                Err(error) => log::error!("simulated failures not changed: {error}"),
            }
            applied = text;
        }
        sleep(READ_INTERVAL).await;
    }
}

#[derive(Debug)]
struct FaultySocket {
    inner: Arc<dyn AsyncUdpSocket>,
    faults: Arc<ArcSwap<LinkFaults>>,
}

impl AsyncUdpSocket for FaultySocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let faults = self.faults.load();
        let is_lost = faults.loss > 0.0
            && OsRng
                .try_next_u32()
                .is_ok_and(|random| f64::from(random) < faults.loss * f64::from(u32::MAX));
        if is_lost || faults.blocked_out.contains(&transmit.destination.ip()) {
            return Ok(());
        }
        self.inner.try_send(transmit)
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        received: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let polled = self.inner.poll_recv(context, buffers, received);
        if let Poll::Ready(Ok(count)) = &polled {
            let faults = self.faults.load();
            for datagram in received.iter_mut().take(*count) {
                if faults.blocked_in.contains(&datagram.addr.ip()) {
                    // The endpoint skips what has no bytes.
                    datagram.len = 0;
                }
            }
        }
        polled
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
