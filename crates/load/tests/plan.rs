//! Checks that the plan reader reports every fault in one run.

use marjorampick_load::plan::Plan;

#[test]
fn every_fault_of_a_plan_is_reported_with_its_line() {
    let source = "seconds = 0\n[[stream]]\nname = \"s\"\nservice = \"status\"\npath = \"/\"\nrate = -1\n\
                  lookups = [\"nowhere\"]\nspeed = 3\n";
    let findings = Plan::parse(source).expect_err("a faulty plan");
    let shown = findings.to_string();
    let places: Vec<(usize, &str)> =
        findings.iter().map(|finding| (finding.line, finding.key.as_str())).collect();
    assert!(places.contains(&(1, "seconds")), "{shown}");
    assert!(places.contains(&(6, "stream[0].rate")), "{shown}");
    assert!(places.contains(&(8, "stream[0].speed")), "{shown}");
    assert!(shown.contains("nowhere"), "{shown}");
}

#[test]
fn a_peak_changes_the_rate_only_while_it_lasts() {
    let source = "seconds = 10\n[[stream]]\nname = \"s\"\nservice = \"status\"\npath = \"/\"\nrate = 2\n\
                  direct = [\"127.0.0.1:1\"]\n[stream.peak]\nfrom = 3\nto = 5\nrate = 10\n";
    let plan = Plan::parse(source).expect("a valid plan");
    let rate = |seconds| plan.streams[0].rate_at(std::time::Duration::from_secs(seconds));
    assert_eq!([rate(2), rate(3), rate(4), rate(5)], [2.0, 10.0, 10.0, 2.0]);
}
