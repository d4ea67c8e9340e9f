//! Cluster membership, from the platform's host list and from heartbeats.
//!
//! Failures that this handles:
//!
//! - The list is behind: it keeps removed hosts for minutes and shows new ones late. A host that
//!   does not answer a probe for [`SUSPECT_TIMEOUT`] is suspect and is not selected for any task; a
//!   host that sends heartbeats is live, listed or not.
//! - The list is wrong: empty, or old. No host is removed because of one list. A host is removed
//!   when it is missing from the list *and* silent for [`REMOVAL_TIMEOUT`]. A list with fewer than
//!   half of the known hosts only adds hosts, so an empty list removes none.
//! - This process was paused, and all others seem silent. Silence is only measured from a probe,
//!   and [`Membership::resume`] discards the probes from before the pause.
//! - A host leaves before the list shows it: its own announcement counts, for as long as its
//!   incarnation lasts. The list still reports a restarted host as leaving: the report counts only
//!   for the incarnation that it was first made for. A list in which more than half of the hosts
//!   are leaving is wrong, and its reports of leaving hosts are ignored.

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

/// Silence after a probe that makes a host suspect.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a host that is not listed is removed.
pub const REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without a probe after which a suspect host counts as live again, so that it is probed
/// again.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry, which accepts callers' requests.
    Entry,
    /// Sidecar of a backend server.
    Sidecar,
}

/// Host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Name of the host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Kind of process on the host.
    pub role: Role,
    /// Whether the list reports the host as leaving.
    pub leaving: bool,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The host answers, or no probe is overdue.
    Live,
    /// The host has not answered a probe in time.
    Suspect,
    /// The host is running and accepts no new work.
    Leaving,
}

/// Known host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Kind of process on the host.
    pub role: Role,
    /// Random id of the host's process; 0 until its first heartbeat.
    pub incarnation: Nonce,
    /// Whether the newest complete list, or a later one, contains the host.
    listed: bool,
    /// Incarnation that the list reports as leaving.
    list_leaving: Option<Nonce>,
    /// Whether the host announced that it is leaving.
    announced_leaving: bool,
    /// Time of the first probe since the last heartbeat.
    first_unanswered_probe: Option<Clock>,
    /// Time of the last probe.
    last_probe: Clock,
    /// Time of the last heartbeat, or at which the host became known.
    last_heartbeat: Clock,
}

impl Member {
    fn new(data_centre: DataCentre, role: Role, now: Clock) -> Self {
        Self {
            data_centre,
            role,
            incarnation: 0,
            listed: false,
            list_leaving: None,
            announced_leaving: false,
            first_unanswered_probe: None,
            last_probe: now,
            last_heartbeat: now,
        }
    }

    fn state(&self, now: Clock) -> State {
        let silent = self
            .first_unanswered_probe
            .is_some_and(|since| now.saturating_sub(since) >= SUSPECT_TIMEOUT);
        if silent {
            return State::Suspect;
        }
        if self.announced_leaving || self.list_leaving == Some(self.incarnation) {
            return State::Leaving;
        }
        State::Live
    }
}

/// State that a host announces with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Kind of process on the host.
    pub role: Role,
    /// Random id of the host's process.
    pub incarnation: Nonce,
    /// Whether the host accepts no new work.
    pub leaving: bool,
}

/// All known hosts.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<Host, Member>,
}

impl Membership {
    /// Applies the platform's host list.
    pub fn apply_list(&mut self, list: &[Listing], now: Clock) {
        let complete = list.len() * 2 >= self.members.len();
        if complete {
            for member in self.members.values_mut() {
                member.listed = false;
            }
        }
        let leaving = list.iter().filter(|listing| listing.leaving).count();
        let plausible = leaving * 2 <= list.len();
        for listing in list {
            let member = self
                .members
                .entry(listing.host.clone())
                .or_insert_with(|| Member::new(listing.data_centre.clone(), listing.role, now));
            member.listed = true;
            if !listing.leaving {
                member.list_leaving = None;
            } else if plausible {
                member.list_leaving.get_or_insert(member.incarnation);
            }
        }
        self.expire(now);
    }

    /// Records a heartbeat of a host.
    pub fn record_heartbeat(&mut self, host: &Host, announcement: Announcement, now: Clock) {
        let member = self.members.entry(host.clone()).or_insert_with(|| {
            Member::new(announcement.data_centre.clone(), announcement.role, now)
        });
        let restarted = member.incarnation != announcement.incarnation;
        member.announced_leaving = announcement.leaving || (member.announced_leaving && !restarted);
        member.incarnation = announcement.incarnation;
        member.data_centre = announcement.data_centre;
        member.first_unanswered_probe = None;
        member.last_heartbeat = now;
    }

    /// Records that a host was sent a message that it answers at once.
    pub fn record_probe(&mut self, host: &str, now: Clock) {
        if let Some(member) = self.members.get_mut(host) {
            member.first_unanswered_probe.get_or_insert(now);
            member.last_probe = now;
        }
    }

    /// Discards pending probes after this process was paused, as they say nothing about other
    /// hosts.
    pub fn resume(&mut self, now: Clock) {
        for member in self.members.values_mut() {
            member.first_unanswered_probe = None;
            member.last_heartbeat = member
                .last_heartbeat
                .max(now.saturating_sub(SUSPECT_TIMEOUT));
        }
    }

    /// Removes hosts that are neither listed nor send heartbeats, and makes suspect hosts live
    /// again that have not been probed for a while, so that they are probed again.
    pub fn expire(&mut self, now: Clock) {
        self.members.retain(|_, member| {
            member.listed || now.saturating_sub(member.last_heartbeat) < REMOVAL_TIMEOUT
        });
        for member in self.members.values_mut() {
            if now.saturating_sub(member.last_probe) >= PROBE_RETRY_INTERVAL {
                member.first_unanswered_probe = None;
            }
        }
    }

    /// Returns the state of a host; `None` if it was removed or never known.
    pub fn state(&self, host: &str, now: Clock) -> Option<State> {
        Some(self.members.get(host)?.state(now))
    }

    /// Returns the host with this name.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// Iterates over all hosts and their states, by name.
    pub fn iter(&self, now: Clock) -> impl Iterator<Item = (&Host, &Member, State)> {
        self.members
            .iter()
            .map(move |(host, member)| (host, member, member.state(now)))
    }

    /// Returns the live hosts of a role in a data centre in rendezvous order for a purpose. All
    /// processes that know the same hosts compute the same order, and removing a host preserves the
    /// order of the others.
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

/// Returns the weight of a host for a purpose in rendezvous hashing.
pub fn weight(purpose: &str, host: &str) -> u64 {
    let mut hash = Xxh3::with_seed(0);
    hash.update(purpose.as_bytes());
    hash.update(&[0]);
    hash.update(host.as_bytes());
    hash.digest()
}
