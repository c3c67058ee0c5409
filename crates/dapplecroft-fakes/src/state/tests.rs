use super::*;

/// Guards against tests of the limits passing because the store does not enforce them:
/// values, changes, conditions and rate beyond the limits must be rejected and counted,
/// while a larger value stored before the limits were set must remain.
#[tokio::test(start_paused = true)]
async fn requests_over_a_limit_are_rejected_and_stored_values_stay() {
    let state = FakeState::new();
    let set = |key: &str, data: &str| json!({"set": key, "data": data});
    let transact = |then: Vec<Value>, when: Vec<Value>| {
        state.transact(json!({"when": when, "then": then}).to_string().as_bytes()).status
    };
    assert_eq!(transact(vec![set("a", &"x".repeat(100))], vec![]), 200);
    state.limit(Limits { value: 50, changes: 2, rate: 3.0 });
    assert_eq!(transact(vec![set("a", &"x".repeat(60))], vec![]), 400);
    assert_eq!(transact(vec![set("a", "x"); 3], vec![]), 400);
    assert_eq!(transact(vec![], vec![json!({"k": "a", "stamp": 1}); 9]), 400);
    assert_eq!(state.value("a").unwrap().as_str().unwrap().len(), 100);
    assert_eq!(transact(vec![set("a", "x"), set("b", "x")], vec![]), 200);
    assert_eq!(transact(vec![set("a", "x"), set("b", "x")], vec![]), 429);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(transact(vec![set("a", "x"), set("b", "x")], vec![]), 200);
    assert_eq!(state.refused(), Refusals { values: 1, transactions: 2, rate: 1 });
}
