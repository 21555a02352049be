//! Tests of plans: every fault is reported at once, and a peak changes the rate of a stream.

use marjorampick_load::plan::Plan;

#[test]
fn every_fault_of_a_plan_is_reported_with_its_line() {
    let source = "seconds = 0\n[[stream]]\nname = \"s\"\nservice = \"status\"\npath = \"/\"\nrate = -1\n\
                  lookups = [\"nowhere\"]\nspeed = 3\n";
    let findings = Plan::parse(source).expect_err("a faulty plan");
    let message = findings.to_string();
    let locations: Vec<(usize, &str)> =
        findings.iter().map(|finding| (finding.line, finding.key.as_str())).collect();
    assert!(locations.contains(&(1, "seconds")), "{message}");
    assert!(locations.contains(&(6, "stream[0].rate")), "{message}");
    assert!(locations.contains(&(8, "stream[0].speed")), "{message}");
    assert!(message.contains("nowhere"), "{message}");
}

#[test]
fn a_peak_changes_the_rate_only_in_its_interval() {
    let source = "seconds = 10\n[[stream]]\nname = \"s\"\nservice = \"status\"\npath = \"/\"\nrate = 2\n\
                  direct = [\"127.0.0.1:1\"]\n[stream.peak]\nfrom = 3\nto = 5\nrate = 10\n";
    let plan = Plan::parse(source).expect("a valid plan");
    let rate_at = |seconds| plan.streams[0].rate_at(std::time::Duration::from_secs(seconds));
    assert_eq!([rate_at(2), rate_at(3), rate_at(4), rate_at(5)], [2.0, 10.0, 10.0, 2.0]);
}
