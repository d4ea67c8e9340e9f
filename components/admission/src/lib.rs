//! Admission control: limits, team fairness, priorities, retry budgets and load shedding.
//!
//! [`Gate`] decides whether a request is admitted, queued or refused; [`Budget`] and [`Retries`]
//! bound retries; [`Forecast`] estimates which streams can't complete in time. All are state
//! machines without I/O. `docs/design/admission.md` gives the reasons and the figures.

mod accounts;
mod budget;
mod concurrency;
mod demand;
mod fair;
mod forecast;
mod gate;
pub mod order;
pub mod overload;
mod quota;
mod request;
mod retries;
pub mod scarcity;
mod settings;
mod table;
mod team;
pub mod wait;

pub use accounts::{
    Accounts,
    Confirmation,
    Contact, //
};
pub use budget::Budget;
pub use demand::Demand;
pub use forecast::{
    Answer,
    Forecast, //
};
pub use gate::Gate;
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
    Departed,
    Retries,
    Standing, //
};
pub use settings::Settings;
pub use team::Limit;
