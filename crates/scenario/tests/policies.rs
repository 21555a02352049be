//! The statement `policy` and the comparison of policies.

use std::time::Duration;

use marjorampick_scenario::{
    parse, policies,
    script::{Policy, Script},
};

fn script(name: &str) -> Script {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let source = std::fs::read_to_string(folder.join(name)).expect("a scenario");
    parse::parse(&source).expect("a valid scenario")
}

/// Guards against a policy that is parsed but not passed on to the hosts: without loans, hosts that
/// get no traffic keep their shares, so that the others admit far less. A lease ends with the store.
#[test]
fn every_policy_spends_in_its_own_way() {
    let mut script = script("key-withdrawn-store-away.scenario");
    script.events.retain(|event| event.at > Duration::from_secs(20));
    let rows = policies::compare(&script, 1);
    let total = |policy| {
        let row = rows.iter().find(|row| row.policy == policy);
        row.map_or(f64::NAN, |row| row.total)
    };
    let [lending, fixed, leased] = [Policy::Lending, Policy::Fixed, Policy::Leased].map(total);
    assert!(rows.iter().all(|row| row.within_limits), "{rows:?}");
    assert!(lending > fixed + 1.0, "{rows:?}");
    assert!(fixed > leased + 10.0, "{rows:?}");
}
