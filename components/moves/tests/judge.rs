//! Tests of the assessment of counts.

use moves::{
    Level,
    evidence::{
        Cells,
        Key, //
    },
    judge::{
        VETO_THRESHOLD,
        assess, //
    },
};

fn level(permille: u32) -> Level {
    Level::at_most(permille)
}

/// Adds failed requests of both versions to a cell.
fn add(cells: &mut Cells, slot: u16, permille: u32, new: u32, old: u32) {
    let key = Key {
        slot,
        level: level(permille),
        route: "chat".into(),
    };
    let pair = cells.entry(key).or_default();
    for (tally, count) in [(&mut pair.new, new), (&mut pair.old, old)] {
        tally.requests += 100 * count;
        tally.failed += count;
        for number in 0..count {
            tally.failures.add(u32::from(slot) * 10_000 + number);
        }
    }
}

/// Guards against a late fault that is masked by a good past: the version equals the old one over
/// many requests for half of the move, and then begins to fail.
#[test]
fn a_late_fault_is_not_masked_by_a_good_past() {
    let mut cells = Cells::new();
    for slot in 0..20 {
        add(&mut cells, slot, 350, 7, 13);
    }
    assert!(assess(&cells, [].into_iter()).e_value < 1.0);
    for slot in 20..23 {
        add(&mut cells, slot, 350, 20, 5);
    }
    assert!(assess(&cells, [].into_iter()).e_value >= VETO_THRESHOLD);
}

/// Returns the next of a sequence of uniformly distributed numbers.
fn random(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut mixed = (*state ^ (*state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}

/// Guards against false vetoes from repeated evaluation: a good version is assessed after each
/// failed request of a move, as on a busy service.
#[test]
fn frequent_assessment_reverts_no_good_version() {
    const MOVES: u32 = 2000;
    const LIMIT: f64 = 20.0;
    let shares = [10, 20, 50, 100, 200, 350, 500, 750];
    let mut over = 0;
    let mut state = 7;
    for _ in 0..MOVES {
        let mut cells = Cells::new();
        let mut highest: f64 = 0.0;
        for step in 0..60 {
            let share = shares[step / 8];
            let new = random(&mut state) < level(share).share();
            add(
                &mut cells,
                step as u16 / 2,
                share,
                u32::from(new),
                u32::from(!new),
            );
            if new {
                highest = highest.max(assess(&cells, [].into_iter()).e_value);
            }
        }
        over += u32::from(highest >= LIMIT);
    }
    // Ville's inequality: at most one in twenty, whatever the shares.
    assert!(
        f64::from(over) <= f64::from(MOVES) / LIMIT,
        "{over} of {MOVES}"
    );
}
