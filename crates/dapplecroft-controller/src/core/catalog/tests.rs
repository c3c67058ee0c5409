use super::*;
use serde_json::json;

fn machine_type(name: &str) -> MachineType {
    MachineType { name: name.into(), cpus: 16.0, memory_gb: 64.0, ..MachineType::default() }
}

// Guards against renaming a field in the code and thereby in the stored records, which other
// versions of the program could then no longer read.
#[test]
fn catalog_records_keep_their_stored_field_names() {
    let page = CatalogPage { total: 1, machine_types: vec![machine_type("m")] };
    let value = to_value(&page);
    assert_eq!((&value["of"], &value["hulls"][0]["name"]), (&json!(1), &json!("m")));
    let catalog = to_value(&Catalog { machine_types: vec![machine_type("m")] });
    assert_eq!(catalog["hulls"][0]["name"], "m");
}

#[test]
fn catalog_is_split_into_records_that_each_fit_the_value_limit() {
    let types: Vec<MachineType> = (0..9).map(|n| machine_type(&format!("type-{n}"))).collect();
    let one_type_bytes =
        stored_size(&to_value(&CatalogPage { total: 1000, machine_types: types[..1].to_vec() }));
    let pages = catalog_pages(&types, one_type_bytes * 2 + 20);
    assert!(pages.len() > 3 && pages.iter().all(|s| s.total as usize == pages.len()));
    let all: Vec<MachineType> = pages.iter().flat_map(|s| s.machine_types.clone()).collect();
    assert_eq!(all, types);
    assert!(pages.iter().all(|s| stored_size(&to_value(s)) <= one_type_bytes * 2 + 20));
    // A type that is too large for any record is left out; the others are kept.
    let mut with_oversized = types.clone();
    with_oversized[4].name = "x".repeat(one_type_bytes * 2 + 20);
    let kept: usize =
        catalog_pages(&with_oversized, one_type_bytes * 2 + 20).iter().map(|s| s.machine_types.len()).sum();
    assert_eq!(kept, 8);
}
