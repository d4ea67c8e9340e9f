//! The retry budget.

use admission::Budget;

// Every request fails and is retried. Unbounded, each layer doubles the load while capacity is
// least; the budget holds retries at a tenth.
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
fn quiet_times_save_up_a_bounded_number() {
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

// Engines die, and many answers are continued at once. They all go on, and other retries wait
// until the budget has recovered.
#[test]
fn resumes_are_never_refused_and_retries_pay() {
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
