//! Retry budget.

use admission::Budget;

// Guards against retry storms: if every request fails and is retried without a bound, each layer
// doubles the load while capacity is lowest.
#[test]
fn retries_stay_at_a_tenth() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.request();
        while budget.retry() {
            retries += 1;
        }
    }
    assert!((1000..=1010).contains(&retries), "{retries}");
}

#[test]
fn saved_retries_are_bounded() {
    let mut budget = Budget::default();
    for _ in 0..1_000_000 {
        budget.request();
    }
    let mut retries = 0;
    while budget.retry() {
        retries += 1;
    }
    assert!((49..=50).contains(&retries), "{retries}");
}

// Guards against lost continuations: when engines fail, many answers are continued at once. All of
// them go on, and other retries wait until the budget has recovered.
#[test]
fn continuations_are_always_allowed_and_reduce_retries() {
    let mut budget = Budget::default();
    for _ in 0..1000 {
        budget.resume();
    }
    let mut requests = 0;
    while !budget.retry() {
        budget.request();
        requests += 1;
    }
    assert!((505..=515).contains(&requests), "{requests}");
}
