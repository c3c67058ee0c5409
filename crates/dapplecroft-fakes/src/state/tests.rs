use super::*;

#[tokio::test(start_paused = true)]
async fn what_exceeds_the_limits_is_refused_and_what_is_stored_stays() {
    let state = FakeState::new();
    let set = |key: &str, data: &str| json!({"set": key, "data": data});
    let send = |then: Vec<Value>, when: Vec<Value>| {
        state.transact(json!({"when": when, "then": then}).to_string().as_bytes()).status
    };
    assert_eq!(send(vec![set("a", &"x".repeat(100))], vec![]), 200);
    state.limit(Limits { value: 50, changes: 2, rate: 3.0 });
    assert_eq!(send(vec![set("a", &"x".repeat(60))], vec![]), 400);
    assert_eq!(send(vec![set("a", "x"); 3], vec![]), 400);
    assert_eq!(send(vec![], vec![json!({"k": "a", "stamp": 1}); 9]), 400);
    assert_eq!(state.value("a").unwrap().as_str().unwrap().len(), 100);
    assert_eq!(send(vec![set("a", "x"), set("b", "x")], vec![]), 200);
    assert_eq!(send(vec![set("a", "x"), set("b", "x")], vec![]), 429);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(send(vec![set("a", "x"), set("b", "x")], vec![]), 200);
    assert_eq!(state.refused(), Refusals { values: 1, transactions: 2, rate: 1 });
}
