//! Limits, team fairness, priorities, retry budgets, shedding.
