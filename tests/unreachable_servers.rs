//! A request that is interrupted because a VM or the network fails is not suspected of crashing servers.

use {
    oleandermount::{
        inventory::{RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, PolicyAction, PolicyInput, PolicyView,
            RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
        reverse_proxy::pool::{BackendTarget, ConnectionPool, ProbeResult, broken_attempt},
    },
    std::{
        io::{Error, ErrorKind},
        net::TcpListener,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "lookup";
/// Pause between two attempts, so that the servers do not fail at the same time.
const PAUSE: Duration = Duration::from_secs(1);

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-1".to_owned(),
        failure_domain: "d1".to_owned(),
        seed: 7,
        disabled: SafeguardSet::default(),
    });
    let server = ServerView {
        software: String::new(),
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some(SERVICE.to_owned()),
        slots: 8,
    };
    let servers = (0..6).map(|number| (format!("server-{number}"), server.clone()));
    let view = PolicyView { revision: 1, servers: servers.collect(), ..PolicyView::default() };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    dispatcher
}

/// Sends a request whose attempt fails; returns whether it was refused on arrival.
fn is_refused(
    dispatcher: &mut Dispatcher,
    now: Instant,
    name: &str,
    failure: AttemptFailure,
) -> bool {
    let ticket = RequestTicket {
        request: name.to_owned(),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(5),
        // A repeatable request would be sent again by the dispatcher itself.
        repeatable: false,
        fingerprint: 1,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service: SERVICE.to_owned() },
    };
    let actions = dispatcher.handle(now, PolicyInput::Arrive(ticket));
    let attempt = actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.attempt),
        _ => None,
    });
    if let Some(attempt) = attempt {
        let failed = PolicyInput::Failed { attempt, failure, relayed_tokens: 0, retry_after: None };
        dispatcher.handle(now, failed);
    }
    attempt.is_none()
}

/// Guards against a partition that lets requests be refused whose connections it interrupts at two servers.
#[test]
fn partition_is_no_crash() {
    for (failure, expected) in
        [(AttemptFailure::Broken, true), (AttemptFailure::Unreachable, false)]
    {
        let began = Instant::now();
        let mut dispatcher = dispatcher(began);
        assert!(!is_refused(&mut dispatcher, began, "first", failure));
        assert!(!is_refused(&mut dispatcher, began + PAUSE, "second", failure));
        let refused = is_refused(&mut dispatcher, began + 2 * PAUSE, "third", failure);
        assert_eq!(refused, expected, "{failure:?}");
    }
}

/// An error with the error of the connection as its source, as the HTTP library returns it.
#[derive(Debug)]
struct LibraryError(Error);

impl std::fmt::Display for LibraryError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the connection failed")
    }
}

impl std::error::Error for LibraryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

#[test]
fn silent_connections_are_told_apart() {
    for (kind, failure) in [
        (ErrorKind::TimedOut, AttemptFailure::Unreachable),
        (ErrorKind::HostUnreachable, AttemptFailure::Unreachable),
        (ErrorKind::ConnectionReset, AttemptFailure::Broken),
        (ErrorKind::UnexpectedEof, AttemptFailure::Broken),
    ] {
        assert_eq!(broken_attempt(&Error::from(kind)), failure);
        assert_eq!(broken_attempt(&LibraryError(Error::from(kind))), failure);
    }
}

/// Guards against a daemon whose own links are refused everywhere and that takes all servers for ended.
#[tokio::test]
async fn refusals_everywhere_end_no_server() {
    let pool = ConnectionPool::default();
    pool.links().set_listed(6);
    let mut results = Vec::new();
    for number in 0..6 {
        // Nothing listens on the port of a listener that is gone.
        let address = TcpListener::bind("127.0.0.1:0").expect("a port is free").local_addr();
        let address = address.expect("the listener has an address");
        let server = format!("server-{number}");
        results.push(pool.probe(BackendTarget { server: &server, address }).await);
    }
    assert_eq!(results[..2], [ProbeResult::Refused; 2], "one or two servers may have ended");
    assert_eq!(results[2..], [ProbeResult::Unreachable; 4]);
}
