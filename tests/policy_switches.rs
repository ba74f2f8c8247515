//! Mechanisms of the policy are switched off by name, and a wrong name is refused.

use oleandermount::policy::{PolicySafeguard, SafeguardError, SafeguardSet};

#[test]
fn names_read_back() {
    let all: SafeguardSet = PolicySafeguard::ALL.into_iter().collect();
    assert_eq!(all.to_string().parse(), Ok(all));
    let some: SafeguardSet = " window, hot-homes,".parse().expect("both names are known");
    assert!(some.contains(PolicySafeguard::Window) && some.contains(PolicySafeguard::HotHomes));
    assert!(!some.contains(PolicySafeguard::Admission));
    assert!("".parse::<SafeguardSet>().expect("no name is no fault").is_empty());
}

// Guards against a misspelt name that leaves everything on while the operator believes it off.
#[test]
fn unknown_names_are_refused() {
    let fault = "window,hothomes".parse::<SafeguardSet>().expect_err("one name is wrong");
    let SafeguardError::Unknown { name, known } = &fault;
    assert_eq!(name, "hothomes");
    assert!(PolicySafeguard::ALL.into_iter().all(|one| known.contains(one.as_str())), "{fault}");
}
