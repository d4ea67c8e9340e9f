//! Load patterns, which vary the request rate over time.

use std::{
    str::FromStr,
    time::Duration, //
};

use crate::{
    Setup,
    setup::Kind, //
};

/// A load pattern or an outage. It is active from a quarter of the simulation's duration on, for a
/// third of that duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Constant load at a multiple of the capacity.
    Steady(f64),
    /// Load at a multiple of the capacity; 0.4 of the capacity before and after.
    Burst(f64),
    /// A burst of twice the capacity, in which all prompts share their first four fifths.
    OneKey,
    /// A burst of twice the capacity, most of it from one team.
    OneTeam,
    /// A burst of twice the capacity, whose callers retry at once after a refusal.
    Impatient,
    /// All engines of one data centre are down for two seconds, three times.
    DataCentre,
    /// One engine of three is down, at 0.4 of the capacity of all three.
    OneOfThree,
    /// Constant load at a multiple of the capacity, over a hundred entries and engines with few
    /// slots; many callers set a deadline shorter than the route's timeout.
    Fleet(f64),
    /// Constant load at a multiple of the capacity, with prompts whose prefill takes longer than
    /// half of the first-event target.
    LongPrompts(f64),
    /// Two kinds of streams on the same engines, of which half are lost while the common kind comes
    /// four times as often.
    Squeeze {
        /// Number of entries.
        entries: usize,
        /// Time after which an entry's news reach the others, in milliseconds.
        delay_ms: u64,
    },
    /// Constant load at a multiple of the capacity, on engines of unequal speed that are slower for
    /// short spells.
    Uneven(f64),
}

/// Factor by which the common kind of a [`Pattern::Squeeze`] comes more often.
const SQUEEZE_FACTOR: f64 = 4.0;

/// Error for a pattern name that doesn't exist or a load that isn't a number.
#[derive(Debug, thiserror::Error)]
#[error(
    "{0}: unknown pattern; expected one of steady:X, burst:X, one-key, one-team, impatient, \
     data-centre, one-of-three, fleet:X, long-prompts:X, squeeze:ENTRIES:MILLISECONDS, uneven:X"
)]
pub struct Unknown(String);

impl FromStr for Pattern {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Pattern, Unknown> {
        let unknown = || Unknown(text.to_string());
        if let Some(rest) = text.strip_prefix("squeeze:") {
            let (entries, delay) = rest.split_once(':').ok_or_else(unknown)?;
            return Ok(Pattern::Squeeze {
                entries: entries.parse().map_err(|_| unknown())?,
                delay_ms: delay.parse().map_err(|_| unknown())?,
            });
        }
        let (name, load) = match text.split_once(':') {
            Some((name, load)) => (name, load.parse().map_err(|_| unknown())?),
            None => (text, 3.0),
        };
        Ok(match name {
            "steady" => Pattern::Steady(load),
            "burst" => Pattern::Burst(load),
            "one-key" => Pattern::OneKey,
            "one-team" => Pattern::OneTeam,
            "impatient" => Pattern::Impatient,
            "data-centre" => Pattern::DataCentre,
            "one-of-three" => Pattern::OneOfThree,
            "fleet" => Pattern::Fleet(load),
            "long-prompts" => Pattern::LongPrompts(load),
            "uneven" => Pattern::Uneven(load),
            _ => return Err(unknown()),
        })
    }
}

impl Pattern {
    /// Name in the printed tables.
    pub fn name(&self) -> String {
        match self {
            Pattern::Steady(load) => format!("{load} times the capacity, steady"),
            Pattern::Burst(load) => format!("{load} times the capacity, a burst"),
            Pattern::OneKey => "a burst on one prompt's beginning".into(),
            Pattern::OneTeam => "a burst of one team".into(),
            Pattern::Impatient => "a burst of callers that repeat at once".into(),
            Pattern::DataCentre => "a data centre's engines lost three times".into(),
            Pattern::OneOfThree => "one engine of three lost".into(),
            Pattern::Fleet(load) => format!("{load} times the capacity, a hundred entries"),
            Pattern::LongPrompts(load) => format!("{load} times the capacity, long prompts"),
            Pattern::Squeeze { entries, delay_ms } => {
                format!("squeeze, {entries} entries, news after {delay_ms} ms")
            }
            Pattern::Uneven(load) => format!("{load} times the capacity, unequal engines"),
        }
    }

    /// The system and callers that the pattern is simulated with.
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
                deadline_share: (0.85, 1.0),
                duration: Duration::from_secs(20),
                ..Setup::default()
            },
            Pattern::LongPrompts(_) => Setup {
                entries: 17,
                engines: 45,
                data_centres: 5,
                slots: 8,
                mean_lengths: (13_300.0, 130.0),
                ..Setup::default()
            },
            Pattern::Squeeze { entries, delay_ms } => Setup {
                entries: *entries,
                kinds: vec![
                    Kind {
                        rank: 0,
                        objective: Duration::from_secs(4),
                        load: 0.06,
                    },
                    Kind {
                        rank: 2,
                        objective: Duration::from_secs(10),
                        load: 0.5,
                    },
                ],
                news_delay: Duration::from_millis(*delay_ms),
                ..Setup::default()
            },
            Pattern::Uneven(_) => Setup {
                entries: 21,
                engines: 80,
                data_centres: 4,
                slots: 64,
                rates: &[0.7, 0.7, 1.7],
                spells: (0.15, 2.5),
                ..Setup::default()
            },
            _ => Setup::default(),
        }
    }

    /// Load of a kind at the time `now`, as a multiple of the capacity.
    pub fn kind_load(&self, setup: &Setup, now: Duration, kind: usize) -> f64 {
        let is_common = kind + 1 == setup.kinds.len();
        match is_common && self.is_active(setup, now) {
            true => SQUEEZE_FACTOR * setup.kinds[kind].load,
            false => setup.kinds[kind].load,
        }
    }

    /// Whether the pattern is active at the time `now`.
    pub fn is_active(&self, setup: &Setup, now: Duration) -> bool {
        let start = setup.duration.mul_f64(0.25);
        now >= start && now < start + setup.duration.mul_f64(1.0 / 3.0)
    }

    /// Load at the time `now`, as a multiple of the capacity.
    pub fn load(&self, setup: &Setup, now: Duration) -> f64 {
        let active = self.is_active(setup, now);
        match self {
            Pattern::Steady(load)
            | Pattern::Fleet(load)
            | Pattern::LongPrompts(load)
            | Pattern::Uneven(load) => *load,
            Pattern::Burst(load) if active => *load,
            Pattern::OneKey | Pattern::OneTeam | Pattern::Impatient if active => 2.0,
            _ => 0.4,
        }
    }

    /// Whether the engine with this data centre and index is down at the time `now`.
    pub fn is_down(&self, setup: &Setup, now: Duration, data_centre: usize, index: usize) -> bool {
        if !self.is_active(setup, now) {
            return false;
        }
        let since = now - setup.duration.mul_f64(0.25);
        match self {
            Pattern::DataCentre => {
                let round = since.as_millis() as usize / 6000;
                let down = since.as_millis() % 6000 < 2000;
                down && data_centre == round % setup.data_centres
            }
            Pattern::OneOfThree => index == 0,
            Pattern::Squeeze { .. } => index.is_multiple_of(2),
            _ => false,
        }
    }
}
