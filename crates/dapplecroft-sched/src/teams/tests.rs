use super::*;

#[test]
fn zero_means_no_quota_limit_and_no_guarantee() {
    let mut teams = TeamQuotas::new([
        ("free".to_string(), Resources::default(), Resources::default()),
        ("tight".to_string(), Resources::new(4.0, 0.0, 0.0), Resources::new(8.0, 0.0, 0.0)),
    ]);
    let task = Resources::new(3.0, 0.0, 100.0);
    teams.add_usage("free", task.times(1000));
    assert!(teams.get("free").unwrap().limit_allows(&task));
    assert!(!teams.get("free").unwrap().guarantee_covers(&task));
    teams.add_usage("tight", task.times(2));
    let tight = teams.get("tight").unwrap();
    assert!(!tight.limit_allows(&task) && tight.headroom(&task) == 0);
    assert!(tight.over_quota() && tight.guarantee_covers(&task));
    teams.remove_usage("tight", task);
    assert!(teams.get("tight").unwrap().limit_allows(&task));
}
