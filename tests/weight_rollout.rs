//! New weights are loaded by a few servers at a time while the others keep serving.

use {
    oleandermount::policy::rollout::{RolloutServer, next_step},
    std::collections::BTreeMap,
};

fn server(observed: Option<&str>, in_flight: u32) -> RolloutServer {
    RolloutServer {
        desired: "w2".to_owned(),
        observed: observed.map(str::to_owned),
        loading: false,
        draining: false,
        alive: true,
        in_flight,
    }
}

/// Nine busy servers have to change weights, and the store sustains two loads at a time. More loads
/// at once would each take longer, and no server would be left to serve.
#[test]
fn busy_servers_load_in_turn() {
    let mut servers: BTreeMap<String, RolloutServer> =
        (0..9).map(|index| (format!("engine-{index}"), server(Some("w1"), 3))).collect();
    let mut rounds = 0;
    while servers.values().any(|server| server.observed.as_deref() != Some("w2")) {
        rounds += 1;
        assert!(rounds < 100, "the rollout ends");
        let step = next_step(&servers, 2);
        for id in &step.drain {
            servers.get_mut(id).expect("it is listed").draining = true;
        }
        for id in &step.load {
            let server = servers.get_mut(id).expect("it is listed");
            assert_eq!(server.in_flight, 0, "{id} is drained first");
            server.loading = true;
        }
        let unavailable =
            servers.values().filter(|server| server.loading || server.draining).count();
        assert!(unavailable <= 2, "{unavailable} servers are unavailable at once");
        for server in servers.values_mut() {
            if server.loading {
                *server = loaded_server();
            } else if server.draining {
                server.in_flight = server.in_flight.saturating_sub(1);
            }
        }
    }
}

fn loaded_server() -> RolloutServer {
    server(Some("w2"), 2)
}

/// The only server of a model loads without being drained first. An unresponsive server gets no
/// order, and a server without weights loads before those that serve.
#[test]
fn loads_are_ordered() {
    let alone = [("a".to_owned(), server(Some("w1"), 5))].into();
    assert_eq!(next_step(&alone, 2).load, ["a"]);
    let dead = [("a".to_owned(), RolloutServer { alive: false, ..server(Some("w1"), 0) })].into();
    assert_eq!(next_step(&dead, 2).load, [] as [&str; 0]);
    let mixed = [
        ("a".to_owned(), server(Some("w1"), 0)),
        ("b".to_owned(), server(None, 0)),
        ("c".to_owned(), server(Some("w1"), 4)),
    ];
    assert_eq!(next_step(&mixed.into(), 1).load, ["b"]);
}
