//! Tests that budget policies are applied and compared.

use std::time::Duration;

use marjorampick_scenario::{
    parse, policies,
    script::{Policy, Script},
};

fn read_script(name: &str) -> Script {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let source = std::fs::read_to_string(folder.join(name)).expect("a scenario");
    parse::parse(&source).expect("a valid scenario")
}

/// Guards against a policy that is parsed but not passed on to the hosts. Without loans, hosts
/// without traffic keep their shares unused, so that less is admitted in total. Leased shares end
/// while the store is down.
#[test]
fn policies_admit_different_shares() {
    let mut script = read_script("key-withdrawn-store-away.scenario");
    script.events.retain(|event| event.at > Duration::from_secs(20));
    let rows = policies::compare(&script, 1);
    let total_percent = |policy| {
        let row = rows.iter().find(|row| row.policy == policy);
        row.map_or(f64::NAN, |row| row.total_percent)
    };
    let [lending, fixed, leased] =
        [Policy::Lending, Policy::Fixed, Policy::Leased].map(total_percent);
    assert!(rows.iter().all(|row| row.within_limits), "{rows:?}");
    assert!(lending > fixed + 1.0, "{rows:?}");
    assert!(fixed > leased + 10.0, "{rows:?}");
}
