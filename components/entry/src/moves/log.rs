//! What operators are told of a move.

use events::moves as logged;
use moves::step::Notice;
use names::Move;

/// Logs a notice of a mover.
pub(super) fn log(name: &Move, notice: &Notice) {
    match notice {
        Notice::Tripped(veto) => {
            let finding = &veto.finding;
            events::emit!(
                logged::TRIPPED,
                "move={name} metric={:?} route={:?} new={}/{} old={}/{}",
                finding.metric,
                finding.route,
                finding.new,
                finding.of_new,
                finding.old,
                finding.of_old
            );
        }
        Notice::Late => events::emit!(logged::OVERDUE, "move={name}"),
        Notice::Reported(outcome) => {
            events::emit!(logged::REPORTED, "move={name} end={:?}", outcome.end);
        }
        Notice::Learned(outcome) => {
            events::emit!(logged::LEARNED, "move={name} end={:?}", outcome.end);
        }
        Notice::Overruled(_) => events::emit!(logged::OVERRULED, "move={name}"),
    }
}
