//! An organisation that is isolated shares cache entries with no other one, not even those made before.

use {
    oleandermount::{
        ids::OrganisationId,
        policy::prefix::{CacheScope, isolated_scope, shared_scope},
        routing::{
            CallerAccess, CallerLimits, OrganisationAccess, OrganisationTable, RouteIndex,
            RouteTable,
        },
    },
    quickcheck::{TestResult, quickcheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

const ORGANISATIONS: u8 = 4;

/// How a configuration treats each organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Access {
    Shared,
    Isolated,
    Removed,
}

fn access_of(configuration: u8, organisation: u8) -> Access {
    match configuration / 3_u8.pow(u32::from(organisation)) % 3 {
        0 => Access::Shared,
        1 => Access::Isolated,
        _ => Access::Removed,
    }
}

fn name_of(organisation: u8) -> OrganisationId {
    format!("organisation {organisation}")
}

fn index_of(configuration: u8) -> RouteIndex {
    let mut table = OrganisationTable::default();
    for organisation in 0..ORGANISATIONS {
        let access = access_of(configuration, organisation);
        if access != Access::Removed {
            let isolated = access == Access::Isolated;
            let access = OrganisationAccess { isolated, ..OrganisationAccess::default() };
            assert!(table.add(name_of(organisation), access).is_ok());
        }
    }
    RouteIndex::new(Arc::new(RouteTable {
        number: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits::default(),
        access: CallerAccess::Keyed(table),
    }))
}

quickcheck! {
    /// Guards against cache entries that an organisation made before it was isolated and that others use.
    fn isolated_entries_stay_apart(configurations: Vec<u8>) -> TestResult {
        let mut makers: BTreeMap<CacheScope, BTreeSet<u8>> = BTreeMap::new();
        for configuration in configurations {
            let index = index_of(configuration);
            for user in 0..ORGANISATIONS {
                if access_of(configuration, user) == Access::Removed {
                    continue;
                }
                let made = makers.entry(index.cache_scope(&name_of(user))).or_default();
                let is_isolated = |maker| access_of(configuration, maker) == Access::Isolated;
                let mut foreign = made.iter().filter(|maker| **maker != user);
                if foreign.any(|maker| is_isolated(*maker) || is_isolated(user)) {
                    return TestResult::failed();
                }
                made.insert(user);
            }
        }
        TestResult::passed()
    }
}

/// Guards against daemons that use no common entries, since each has started at another time.
#[test]
fn equal_configurations_share() {
    for configuration in 0..81 {
        let indexes = [index_of(configuration), index_of(configuration)];
        let scopes = indexes.map(|index| {
            (0..ORGANISATIONS)
                .map(|organisation| index.cache_scope(&name_of(organisation)))
                .collect::<Vec<_>>()
        });
        assert_eq!(scopes[0], scopes[1]);
    }
    let scope = |organisation| index_of(0).cache_scope(&name_of(organisation));
    assert_eq!(scope(0), scope(1), "organisations that are not isolated share entries");
}

/// Guards against an organisation whose name equals the scope of others.
#[test]
fn names_are_no_scopes() {
    let shared = shared_scope(["a", "b"]);
    assert_ne!(isolated_scope(&shared), shared);
    assert_ne!(shared_scope(["ab"]), shared);
    assert_eq!(shared_scope(["b", "a"]), shared);
}

/// Guards against a request that shares entries because its organisation is not configured any more.
#[test]
fn removed_organisation_shares_nothing() {
    let index = index_of(0);
    let removed = "former".to_owned();
    assert_eq!(index.cache_scope(&removed), isolated_scope(&removed));
    assert_eq!(index.cache_scope(&OrganisationId::new()), index.cache_scope(&name_of(0)));
}
