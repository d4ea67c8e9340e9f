//! Numbered log events.
//!
//! Every line that the system's processes log is one of these events, so that operators can look up
//! its number in docs/EVENTS.md and programs can count it. A test keeps that catalogue in step with
//! this crate.

pub mod answers;
pub mod calls;
pub mod documents;
pub mod forwarding;
pub mod limits;
pub mod links;
pub mod moves;
pub mod orders;
pub mod process;
pub mod rollout;

use std::fmt;

use log::Level;

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Unique number, never reused for another event.
    pub number: u16,
    /// Log level.
    pub level: Level,
    /// Meaning, as in the catalogue.
    pub meaning: &'static str,
}

impl Event {
    /// Logs the event; `details` are `name=value` pairs.
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(target: "medlarhatch", self.level, "{self} {}; {details}", self.meaning);
    }
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "MH{:04}", self.number)
    }
}

/// Returns all events, ordered by number.
pub fn all() -> Vec<Event> {
    let modules = [
        process::ALL,
        links::ALL,
        answers::ALL,
        calls::ALL,
        rollout::ALL,
        forwarding::ALL,
        documents::ALL,
        moves::ALL,
        limits::ALL,
        orders::ALL,
    ];
    let mut events = modules.concat();
    events.sort_by_key(|event| event.number);
    events
}

/// Declares the events of a module, and their list.
#[macro_export]
macro_rules! declare {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $meaning:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $name: $crate::Event = $crate::Event {
                number: $number,
                level: log::Level::$level,
                meaning: $meaning,
            };
        )*
        /// All events of this module.
        pub const ALL: &[$crate::Event] = &[$($name),*];
    };
}

/// Logs an event: `emit!(links::UP, "host={host}")`.
#[macro_export]
macro_rules! emit {
    ($event:expr, $($details:tt)*) => {
        $event.log(format_args!($($details)*))
    };
}

/// Logs an event with named fields, for structured lines:
/// `note!(forwarding::SENT, id = id, server = server)`.
#[macro_export]
macro_rules! note {
    ($event:expr, $($fields:tt)*) => {{
        let event: $crate::Event = $event;
        log::log!(
            target: "medlarhatch",
            event.level,
            event = event.number,
            $($fields)*;
            "{}",
            event.meaning
        );
    }};
}
