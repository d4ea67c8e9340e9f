//! Limits, team fairness, priorities, retry budgets, shedding.
//!
//! [`Gate`] decides which piece of work goes on, waits, or is refused; [`Budget`] bounds retries;
//! [`Outlook`] tells which streams can't be complete in time. All are plain state machines. `docs/design/admission.md` gives the reasons and the figures.

mod budget;
mod fair;
mod gate;
mod outlook;
mod pace;
mod quota;
mod request;
mod retries;
mod settings;
mod table;
mod team;
pub mod wait;

pub use budget::Budget;
pub use gate::Gate;
pub use outlook::{
    Answer,
    Forecast, //
};
pub use quota::{
    Bound,
    Peers,
    Purpose,
    Quota,
    Totals, //
};
pub use request::{
    Arrival,
    Done,
    Reason,
    Released,
    Report,
    Ticket,
    Verdict, //
};
pub use retries::{
    Counts,
    Retries, //
};
pub use settings::Settings;
pub use team::Limit;
