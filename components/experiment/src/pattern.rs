//! Load patterns.

use std::{
    str::FromStr,
    time::Duration, //
};

use crate::Setup;

/// What happens in a play, from a quarter of its length on, for a third of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Nothing: callers come at a multiple of the capacity all the time.
    Steady(f64),
    /// Callers come at a multiple of the capacity, before and after at 0.4 of it.
    Burst(f64),
    /// A burst of twice the capacity, whose prompts all begin with the same four fifths.
    OneKey,
    /// A burst of twice the capacity, all from one team.
    OneTeam,
    /// A burst of twice the capacity, whose callers repeat at once when they are refused.
    Impatient,
    /// A data centre's engines are lost for two seconds, three times.
    DataCentre,
    /// One engine of three is lost, at 0.4 of the capacity of all.
    OneOfThree,
    /// Callers come at a multiple of the capacity to a hundred entries before engines with few slots;
    /// many give less time than their route.
    Fleet(f64),
    /// Callers come at a multiple of the capacity with prompts that an engine reads for longer than half
    /// of the time for a first event.
    LongPrompts(f64),
}

/// A pattern that nobody knows.
#[derive(Debug, thiserror::Error)]
#[error(
    "{0}: not one of steady:X, burst:X, one-key, one-team, impatient, data-centre, one-of-three, fleet:X, \
     long-prompts:X"
)]
pub struct Unknown(String);

impl FromStr for Pattern {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Pattern, Unknown> {
        let unknown = || Unknown(text.to_string());
        let (name, times) = match text.split_once(':') {
            Some((name, times)) => (name, times.parse().map_err(|_| unknown())?),
            None => (text, 3.0),
        };
        Ok(match name {
            "steady" => Pattern::Steady(times),
            "burst" => Pattern::Burst(times),
            "one-key" => Pattern::OneKey,
            "one-team" => Pattern::OneTeam,
            "impatient" => Pattern::Impatient,
            "data-centre" => Pattern::DataCentre,
            "one-of-three" => Pattern::OneOfThree,
            "fleet" => Pattern::Fleet(times),
            "long-prompts" => Pattern::LongPrompts(times),
            _ => return Err(unknown()),
        })
    }
}

impl Pattern {
    /// Name for tables.
    pub fn name(&self) -> String {
        match self {
            Pattern::Steady(times) => format!("{times} times the capacity, steady"),
            Pattern::Burst(times) => format!("{times} times the capacity, a burst"),
            Pattern::OneKey => "a burst on one prompt's beginning".into(),
            Pattern::OneTeam => "a burst of one team".into(),
            Pattern::Impatient => "a burst of callers that repeat at once".into(),
            Pattern::DataCentre => "a data centre's engines lost three times".into(),
            Pattern::OneOfThree => "one engine of three lost".into(),
            Pattern::Fleet(times) => format!("{times} times the capacity, a hundred entries"),
            Pattern::LongPrompts(times) => format!("{times} times the capacity, long prompts"),
        }
    }

    /// The system that it is played on.
    pub fn setup(&self) -> Setup {
        match self {
            Pattern::OneOfThree => Setup {
                engines: 3,
                ..Setup::default()
            },
            Pattern::Fleet(_) => Setup {
                entries: 103,
                engines: 256,
                data_centres: 5,
                slots: 8,
                teams: 40,
                gives: (0.85, 1.0),
                length: Duration::from_secs(20),
                ..Setup::default()
            },
            Pattern::LongPrompts(_) => Setup {
                entries: 17,
                engines: 45,
                data_centres: 5,
                slots: 8,
                size: (13_300.0, 130.0),
                ..Setup::default()
            },
            _ => Setup::default(),
        }
    }

    /// Whether the pattern is on at a time.
    pub fn on(&self, setup: &Setup, now: Duration) -> bool {
        let begin = setup.length.mul_f64(0.25);
        now >= begin && now < begin + setup.length.mul_f64(1.0 / 3.0)
    }

    /// Multiple of the capacity at which callers come at a time.
    pub fn load(&self, setup: &Setup, now: Duration) -> f64 {
        let on = self.on(setup, now);
        match self {
            Pattern::Steady(times) | Pattern::Fleet(times) | Pattern::LongPrompts(times) => *times,
            Pattern::Burst(times) if on => *times,
            Pattern::OneKey | Pattern::OneTeam | Pattern::Impatient if on => 2.0,
            _ => 0.4,
        }
    }

    /// Engines that are lost at a time, by their data centre and number.
    pub fn lost(&self, setup: &Setup, now: Duration, data_centre: usize, number: usize) -> bool {
        if !self.on(setup, now) {
            return false;
        }
        let since = now - setup.length.mul_f64(0.25);
        match self {
            Pattern::DataCentre => {
                let turn = since.as_millis() as usize / 6000;
                let down = since.as_millis() % 6000 < 2000;
                down && data_centre == turn % setup.data_centres
            }
            Pattern::OneOfThree => number == 0,
            _ => false,
        }
    }
}
