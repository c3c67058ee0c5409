use super::*;
use serde_json::json;

#[test]
fn keys_are_taken_apart() {
    for (key, parsed) in [
        (ShardId::whole(3).key(), Key::Shard(ShardId::whole(3))),
        (ShardId::new(3, 14).key(), Key::Shard(ShardId::new(3, 14))),
        (job_key("run-1"), Key::Job("run-1")),
        (completed_tasks_key("run-1", 2), Key::CompletedTasks("run-1", 2)),
        (block_key(12), Key::Block(12)),
        (drain_key(12), Key::Drain(12)),
        (group_key("dc-7-1.2"), Key::Group("dc-7-1.2")),
        (mark_key("c-0"), Key::Mark("c-0")),
        (live_key("c-0"), Key::Live("c-0")),
        (catalog_key(1), Key::Catalog(Some(1))),
    ] {
        assert_eq!(Key::parse(&key), Some(parsed));
    }
    assert_eq!(Key::parse("dc/x/1"), None);
    assert_eq!(Key::parse("dc/b/x"), None);
    assert_eq!(Key::parse("dc/q/1"), None);
}

#[test]
fn a_value_counts_as_large_as_it_may_be_written() {
    assert_eq!(stored_size(&json!("ab")), 4);
    assert_eq!(stored_size(&json!("é")), 8);
}
