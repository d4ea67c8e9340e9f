//! Log messages of movers.

use events::moves as messages;
use moves::step::Notice;
use names::Move;

/// Logs a notice of a mover.
pub(super) fn notice(name: &Move, notice: &Notice) {
    match notice {
        Notice::Vetoed(veto) => {
            let finding = &veto.finding;
            events::emit!(
                messages::FOUND_BAD,
                "move={name} metric={:?} route={:?} new={}/{} old={}/{}",
                finding.metric,
                finding.route,
                finding.new,
                finding.of_new,
                finding.old,
                finding.of_old
            );
        }
        Notice::Late => events::emit!(messages::OVERDUE, "move={name}"),
        Notice::Reported(outcome) => {
            events::emit!(
                messages::OUTCOME_STORED,
                "move={name} end={:?}",
                outcome.end
            );
        }
        Notice::Received(outcome) => {
            events::emit!(
                messages::OUTCOME_LEARNED,
                "move={name} end={:?}",
                outcome.end
            );
        }
        Notice::Overruled(_) => events::emit!(messages::FOUND_BAD_LATE, "move={name}"),
    }
}
