//! Which server a stream goes to, and which one holds the copy of its memory.

use answer::loss::Candidate;
use environment::document::Repeats;
use routing::placement::{
    Request,
    Versions,
    Work, //
};
use tokio::time::Instant;

use crate::{
    cache_lookup, //
    edge::{
        Copy,
        Edge, //
    },
    fleet::{
        Charge,
        Chosen, //
    },
    stream::{
        Story,
        resumption::Resumption, //
    },
};

/// Part of the usual time to read a prompt that it takes at the least.
const READING: f64 = 0.75;

/// Part of the engines' memory from which on it is scarce while streams wait. In a rush of several
/// times the capacity the places beyond it are all taken by callers.
const SCARCE: f64 = 0.5;

impl<E: Edge + 'static> Story<E> {
    pub(super) fn parts(&self) -> &[(u64, u32)] {
        self.call.prompt().map_or(&[], |prompt| &prompt.parts)
    }

    /// The work of the stream's rest.
    pub(super) fn work(&self) -> Work {
        let Some(prompt) = self.call.prompt() else {
            return Work {
                requests: 1,
                ..Work::default()
            };
        };
        let answer = prompt.hint.unwrap_or(prompt.most).min(prompt.most);
        Work {
            requests: 1,
            tokens: u64::from(prompt.tokens) + u64::from(answer),
            unread: u64::from(prompt.tokens),
        }
    }

    /// Chooses a server, and the copy from which it goes on: what is left to try after a loss,
    /// or the best. `None` when there is none, or the request may not be sent any more.
    pub(super) fn choose(
        &mut self,
        next: &mut Option<Resumption>,
    ) -> Option<(Chosen, Option<Copy>)> {
        let fleet = self.context.fleet.clone();
        if let Some(onward) = next {
            while let Some(candidate) = onward.take() {
                let (chosen, copy) = match candidate {
                    Candidate::Same => (onward.next.server.clone(), onward.next.from.clone()),
                    Candidate::Copy => match &onward.next.held {
                        Some((holder, copy)) => (holder.clone(), Some(copy.clone())),
                        None => continue,
                    },
                    Candidate::Any => break,
                };
                // A server that lost the run is tried all the same: only the run may be lost.
                let open = match copy {
                    Some(_) => fleet.borrow().usable(&chosen.server),
                    None => fleet.borrow().open(&chosen.server),
                };
                if open && self.may(&chosen.server) {
                    self.tried(&chosen);
                    return Some((chosen, copy));
                }
            }
        }
        let home = self.context.settings.borrow().data_centre.clone();
        let chosen = fleet
            .borrow_mut()
            .choose(&self.request(&home, self.work()))?;
        if !self.may(&chosen.server) {
            return None;
        }
        self.tried(&chosen);
        Some((chosen, None))
    }

    fn tried(&mut self, chosen: &Chosen) {
        if !self.tried.contains(&chosen.server) {
            self.tried.push(chosen.server.clone());
        }
    }

    fn request<'a>(&'a self, home: &'a str, work: Work) -> Request<'a> {
        Request {
            service: &self.call.service,
            data_centre: home,
            work,
            parts: self.parts(),
            versions: self.pick.versions(),
            avoid: &self.tried,
            avoid_data_centre: None,
        }
    }

    /// Chooses a server of another data centre for the copy of a run's memory.
    pub(super) fn backup(&self, chosen: &Chosen) -> Option<(Chosen, Charge)> {
        if self.call.pass.repeats != Repeats::Resumes || !self.call.backups {
            return None;
        }
        // A copy saves a prompt if its run is lost; a place serves a caller who waits for sure. Where
        // there is memory for both, a copy takes nobody's place: what callers wait for is then a slot,
        // or an engine that has prompts to read.
        let service = &self.call.service;
        let scarce = || self.context.fleet.borrow().fill(service) > SCARCE;
        if self.context.queue.pressed(service) && scarce() {
            return None;
        }
        let home = self.context.settings.borrow().data_centre.clone();
        let work = Work {
            requests: 0,
            unread: 0,
            ..self.work()
        };
        let request = Request {
            versions: Versions::Only(&chosen.version),
            avoid_data_centre: Some(&chosen.data_centre),
            ..self.request(&home, work)
        };
        let backup = self.context.fleet.borrow_mut().choose_backup(&request)?;
        let charge = Charge::new(&self.context.fleet, &backup.server, work);
        Some((backup, charge))
    }

    /// Finds out where the prompt of a caller that comes back was read, if nobody knows.
    pub(super) async fn cache_lookup(&self) {
        let left = self.call.until.saturating_duration_since(Instant::now());
        // It may have lost its entry before the first event; an entry that started long ago knows.
        let timeout = self.call.pass.timeout.unwrap_or_default();
        let waited = left < timeout / 2 && self.context.started.elapsed() < timeout;
        let back = self.call.packet.ask.after.is_some() || waited;
        let Some(part) = self.parts().last().filter(|_| back) else {
            return;
        };
        if self.context.fleet.borrow().found(*part) {
            return;
        }
        cache_lookup::learn(&self.context, &self.call.service, *part, left).await;
        cache_lookup::wait(&self.context, &self.call, *part, left).await;
    }

    /// Whether a server should try to give the answer: there is room, so that a try takes nothing
    /// from others, or the answer can be complete in time as far as is known.
    pub(super) fn worth_trying(&self, chosen: &Chosen) -> bool {
        if !chosen.why.is_full() {
            return true;
        }
        let left = self.call.until.saturating_duration_since(Instant::now());
        let after = self.sequence.last().unwrap_or(0);
        let rest = self
            .context
            .outlook
            .borrow()
            .remaining_time(&self.call.route, after);
        let Some(rest) = rest else {
            return true;
        };
        let fleet = self.context.fleet.borrow();
        let unread = self
            .work()
            .unread
            .saturating_sub(fleet.known(self.parts(), &chosen.server));
        let reading = fleet.alone(chosen, unread).mul_f64(READING);
        reading + rest <= left
    }
}
