use super::*;

#[test]
fn zero_means_no_quota_limit_and_no_guarantee() {
    let mut teams = Teams::new([
        ("free".to_string(), Resources::default(), Resources::default()),
        ("tight".to_string(), Resources::new(4.0, 0.0, 0.0), Resources::new(8.0, 0.0, 0.0)),
    ]);
    let task = Resources::new(3.0, 0.0, 100.0);
    teams.book("free", task.times(1000));
    assert!(teams.get("free").unwrap().allocates(&task));
    assert!(!teams.get("free").unwrap().guarantees(&task));
    teams.book("tight", task.times(2));
    let tight = teams.get("tight").unwrap();
    assert!(!tight.allocates(&task) && tight.headroom(&task) == 0);
    assert!(tight.over_quota() && tight.guarantees(&task));
    teams.unbook("tight", task);
    assert!(teams.get("tight").unwrap().allocates(&task));
}
