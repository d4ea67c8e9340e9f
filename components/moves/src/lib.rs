//! Traffic moves between versions: plan, evidence, veto, outcome.
