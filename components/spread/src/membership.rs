//! Which hosts there are, from the platform's list and from who answers.
//!
//! What can go wrong, and what this does about it:
//!
//! - The list lags: hosts that are gone stand in it for minutes, new ones come late. A host that
//!   was asked and is silent for [`SUSPECT`] is suspect and isn't chosen for anything; a host that
//!   speaks to us is live, listed or not.
//! - The list is wrong: empty, or old. No host is taken out because of one list. A host is gone
//!   when it is missing from the list *and* silent for [`GONE`]; and a list that has lost more than
//!   half of what is known is used for additions only. So an empty list empties nothing.
//! - This process was paused: then everybody else seems silent. Silence is only judged against a
//!   question, and [`Membership::resume`] takes back the questions from before the pause.
//! - A host says that it leaves and the list doesn't know yet: its word counts, for as long as its
//!   incarnation lasts. The list says so of a host that was restarted since: the list's word counts
//!   only for the incarnation that it was first said of. A list in which more than half are leaving
//!   is wrong, and is not believed in this.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    DataCentre,
    Host,
    Nonce, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

/// Silence after a question that makes a host suspect.
pub const SUSPECT: Duration = Duration::from_secs(3);

/// Silence after which a host that isn't listed is gone.
pub const GONE: Duration = Duration::from_secs(60);

/// Time without a question after which a suspect is worth another one.
const RETRY: Duration = Duration::from_secs(20);

/// What kind of process runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a backend server.
    Sidecar,
}

/// A line of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What runs there.
    pub role: Role,
    /// The list says that it is leaving.
    pub leaving: bool,
}

/// How a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers, or nothing speaks against it.
    Live,
    /// It was asked and doesn't answer.
    Suspect,
    /// It runs, and wants no new work.
    Leaving,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What runs there.
    pub role: Role,
    /// Random number of its process; 0 until it spoke.
    pub incarnation: Nonce,
    /// It stands in the newest list.
    listed: bool,
    /// Incarnation of which the list says that it is leaving.
    list_leaving: Option<Nonce>,
    /// It said so itself.
    said_leaving: bool,
    /// First question since it last spoke.
    unanswered: Option<Clock>,
    /// Last question.
    asked: Clock,
    /// When it last spoke, or when it became known.
    heard: Clock,
}

impl Member {
    fn new(data_centre: DataCentre, role: Role, now: Clock) -> Self {
        Self {
            data_centre,
            role,
            incarnation: 0,
            listed: false,
            list_leaving: None,
            said_leaving: false,
            unanswered: None,
            asked: now,
            heard: now,
        }
    }

    fn state(&self, now: Clock) -> State {
        let silent = self
            .unanswered
            .is_some_and(|since| now.saturating_sub(since) >= SUSPECT);
        if silent {
            return State::Suspect;
        }
        if self.said_leaving || self.list_leaving == Some(self.incarnation) {
            return State::Leaving;
        }
        State::Live
    }
}

/// What a host says of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sign {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What runs there.
    pub role: Role,
    /// Random number of its process.
    pub incarnation: Nonce,
    /// It wants no new work.
    pub leaving: bool,
}

/// All hosts that are known.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<Host, Member>,
}

impl Membership {
    /// Takes the platform's list.
    pub fn list(&mut self, list: &[Listing], now: Clock) {
        let whole = list.len() * 2 >= self.members.len();
        if whole {
            for member in self.members.values_mut() {
                member.listed = false;
            }
        }
        let leaving = list.iter().filter(|line| line.leaving).count();
        let believed = leaving * 2 <= list.len();
        for line in list {
            let member = self
                .members
                .entry(line.host.clone())
                .or_insert_with(|| Member::new(line.data_centre.clone(), line.role, now));
            member.listed = true;
            if !line.leaving {
                member.list_leaving = None;
            } else if believed {
                member.list_leaving.get_or_insert(member.incarnation);
            }
        }
        self.forget(now);
    }

    /// A host spoke.
    pub fn heard(&mut self, host: &Host, sign: Sign, now: Clock) {
        let member = self
            .members
            .entry(host.clone())
            .or_insert_with(|| Member::new(sign.data_centre.clone(), sign.role, now));
        let restarted = member.incarnation != sign.incarnation;
        member.said_leaving = sign.leaving || (member.said_leaving && !restarted);
        member.incarnation = sign.incarnation;
        member.data_centre = sign.data_centre;
        member.unanswered = None;
        member.heard = now;
    }

    /// A host was asked something that it answers at once.
    pub fn asked(&mut self, host: &str, now: Clock) {
        if let Some(member) = self.members.get_mut(host) {
            member.unanswered.get_or_insert(now);
            member.asked = now;
        }
    }

    /// This process was paused: questions from before say nothing about others.
    pub fn resume(&mut self, now: Clock) {
        for member in self.members.values_mut() {
            member.unanswered = None;
            member.heard = member.heard.max(now.saturating_sub(SUSPECT));
        }
    }

    /// Drops hosts that are gone, and gives suspects that nobody asks any more another chance.
    pub fn forget(&mut self, now: Clock) {
        self.members
            .retain(|_, member| member.listed || now.saturating_sub(member.heard) < GONE);
        for member in self.members.values_mut() {
            if now.saturating_sub(member.asked) >= RETRY {
                member.unanswered = None;
            }
        }
    }

    /// How a host stands; `None` when it is gone or was never known.
    pub fn state(&self, host: &str, now: Clock) -> Option<State> {
        Some(self.members.get(host)?.state(now))
    }

    /// Finds a host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// All hosts and how they stand, by name.
    pub fn iter(&self, now: Clock) -> impl Iterator<Item = (&Host, &Member, State)> {
        self.members
            .iter()
            .map(move |(host, member)| (host, member, member.state(now)))
    }

    /// The live hosts of a role in a data centre, in rendezvous order for a purpose: each process
    /// that knows the same hosts gets the same order, and a host that goes changes no other's place.
    pub fn ranked(&self, data_centre: &str, role: Role, purpose: &str, now: Clock) -> Vec<&Host> {
        let mut ranked: Vec<_> = self
            .iter(now)
            .filter(|(_, member, state)| {
                member.role == role && member.data_centre == data_centre && *state == State::Live
            })
            .map(|(host, _, _)| (weight(purpose, host), host))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, host)| host).collect()
    }
}

/// A host's weight for a purpose in rendezvous hashing.
pub fn weight(purpose: &str, host: &str) -> u64 {
    let mut hash = Xxh3::with_seed(0);
    hash.update(purpose.as_bytes());
    hash.update(&[0]);
    hash.update(host.as_bytes());
    hash.digest()
}
