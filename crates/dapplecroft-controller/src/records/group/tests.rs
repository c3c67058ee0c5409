use super::*;
use crate::records::stored_size;

#[test]
fn split_groups_fit_the_value_limit_with_all_addresses_and_all_given_up() {
    let machines: BTreeMap<String, MachineRecord> =
        (0..200).map(|n| (format!("i-{n:06}"), MachineRecord::default())).collect();
    let group = GroupRecord { shard: 3, machine_type: "m".into(), zone: "z".into(), spot: true, machines };
    let groups = group.clone().split_to_fit(2048);
    assert!(groups.len() < 8);
    let mut all = BTreeMap::new();
    for mut group in groups {
        all.extend(group.machines.clone());
        for machine in group.machines.values_mut() {
            *machine = MachineRecord { address: Some("255.255.255.255:65535".into()), given_up: true };
        }
        let value = serde_json::to_value(&group).unwrap();
        assert!(stored_size(&value) <= 2048);
        assert_eq!(serde_json::from_value::<GroupRecord>(value).unwrap(), group);
    }
    assert_eq!(all, group.machines);
}
