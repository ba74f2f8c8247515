//! The sample files are valid and have the expected sizes; all faults of the invalid one are
//! reported.

use {
    oleandermount::inventory::{
        DecisionObjective, ServerKind,
        validate::{InventoryFault, canonical_json, check_register, check_rules, digest},
    },
    std::{collections::BTreeSet, fs, path::Path},
};

fn sample(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(name);
    fs::read_to_string(path).expect("the sample exists")
}

#[test]
fn samples_have_expected_sizes() {
    let cases = [
        ("tuul.toml", [9, 3, 1], 2, DecisionObjective::FirstToken),
        ("abay.toml", [18, 3, 1], 3, DecisionObjective::Reuse),
    ];
    for (name, sizes, loads, objective) in cases {
        let text = sample(name);
        let register = check_register(&text).expect("a valid register");
        let rules = check_rules(&text, &register).expect("valid rules");
        let kinds = [ServerKind::Engine, ServerKind::Service, ServerKind::CacheStore];
        let counted =
            kinds.map(|kind| register.servers.iter().filter(|server| server.kind == kind).count());
        assert_eq!(counted, sizes, "{name}");
        assert_eq!((register.failure_domains.len(), register.organisations.len()), (3, 8));
        assert!((6..=9).contains(&register.vms.len()));
        assert_eq!((rules.weight_loads, rules.objective), (loads, objective));
        assert!(rules.calls.iter().any(|call| !call.repeatable));
        assert!(register.servers.iter().all(|server| server.address.ip().is_loopback()));
    }
}

#[test]
fn toml_and_json_have_equal_canonical_text() {
    let register = check_register(&sample("tuul.toml")).expect("a valid register");
    let json = canonical_json(&register);
    let again = check_register(&json).expect("the JSON form is valid");
    assert_eq!(register, again);
    assert_eq!(digest(&json), digest(&canonical_json(&again)));
}

/// Expected faults of the register: the key, and a part of the message.
const REGISTER_FAULTS: [(&str, &str); 21] = [
    ("failure_domains[1].id", "listed twice"),
    ("vms[0].failure_domain", "ub-nord"),
    ("vms[0].capacity", "positive"),
    ("vms[1].id", "no valid name"),
    ("vms[1].peer_address", "used twice"),
    ("models[1]", "has no engine"),
    ("models[1].weights", "version"),
    ("services[0]", "has no server"),
    ("servers[0].models[1]", "absent-llm"),
    ("servers[0].slots", "at least 1"),
    ("servers[1].address", "used twice"),
    ("servers[1]", "names no model"),
    ("servers[2].address", "correct it"),
    ("servers[2].kind", "motor"),
    ("servers[2].slots", "-4"),
    ("servers[3].models", "only an engine"),
    ("servers[3]", "names no service"),
    ("servers[4].address", "no port"),
    ("servers[4].service", "only a server of kind service"),
    ("organisations[0].key_digests[0]", "64 lower-case"),
    ("organisations[2].key_digests[0]", "blue-orchard"),
];

/// Expected faults of the rules: the key, and a part of the message.
const RULE_FAULTS: [(&str, &str); 13] = [
    ("objective", "fastest"),
    ("weight_loads", "from 1"),
    ("retention_hours", "-1"),
    ("deadlines_ms.interactive", "from 1"),
    ("organisations[0].organisation", "not in the register"),
    ("organisations[0].models[0]", "absent-llm"),
    ("organisations[0].services[0]", "absent-app"),
    ("organisations[0].weight", "positive"),
    ("organisations[1].colour", "colour"),
    ("calls[0].service", "absent-app"),
    ("calls[0].method", "in capitals"),
    ("calls[0].path", "slash"),
    ("calls[2]", "rule already"),
];

fn expect_all(part: &str, found: &[InventoryFault], expected: &[(&str, &str)]) {
    let expected_keys: BTreeSet<String> =
        expected.iter().map(|(key, _)| format!("{part}.{key}")).collect();
    let found_keys: BTreeSet<String> = found.iter().map(|fault| fault.key.clone()).collect();
    assert_eq!(found_keys, expected_keys);
    for (key, text) in expected {
        let key = format!("{part}.{key}");
        let fault = found.iter().find(|fault| fault.key == key).expect("the fault is reported");
        assert!(fault.message.contains(text), "{fault} does not contain {text}");
        assert!(fault.message.contains("; "), "{fault} has no remedy");
    }
}

#[test]
fn all_faults_are_reported_in_one_run() {
    let text = sample("faulty.toml");
    let found = check_register(&text).expect_err("the register is invalid");
    expect_all("register", &found, &REGISTER_FAULTS);
    let capacity = found.iter().find(|fault| fault.key.ends_with("capacity")).expect("reported");
    let line = text.lines().position(|line| line.starts_with("capacity")).expect("in the file");
    assert_eq!(capacity.line, line + 1);

    let register = check_register(&sample("tuul.toml")).expect("a valid register");
    let found = check_rules(&text, &register).expect_err("the rules are invalid");
    expect_all("rules", &found, &RULE_FAULTS);
}

#[test]
fn json_faults_have_lines() {
    let text = "{\n \"failure_domains\": [{\"id\": \"a\"}],\n \"vms\": [\n  {\"id\": \"a-1\",\n   \
                \"failure_domain\": \"b\",\n   \"peer_address\": \"127.0.0.1:1\"}]\n}";
    let found = check_register(text).expect_err("domain b is not listed");
    assert_eq!((found[0].line, found[0].key.as_str()), (5, "vms[0].failure_domain"));
    assert_eq!(check_register("{\n\"vms\": [\n").expect_err("truncated")[0].line, 3);
    assert_eq!(check_register("a = 1\nb = \n").expect_err("no value")[0].line, 2);
}
