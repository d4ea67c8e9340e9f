//! What may happen next.

/// Number of a request, which is also the number of its entry.
pub type Entry = usize;

/// Position of a hand-over among those that are under way.
pub type Hand = usize;

/// What becomes of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It is answered only after the hand-over's time limit.
    AnsweredLate,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It times out, and may take effect at any later time, or never.
    Delayed,
    /// The store is out and says so.
    Refused,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The caller's request comes to its entry.
    Request(Entry),
    /// The oldest frame of an entry arrives at its sidecar.
    Frame(Entry),
    /// The same, and it will arrive once more.
    FrameTwice(Entry),
    /// A frame can't be sent.
    Unsent(Entry),
    /// A sidecar's reply arrives.
    Reply(Entry),
    /// An entry takes its sidecar for silent.
    Silent(Entry),
    /// An entry's call to the store.
    EntryStore(Entry, Fate),
    /// A sidecar's call to the store.
    SidecarStore(Hand, Fate),
    /// A delayed write takes effect.
    LateWrite(usize),
    /// The service refuses the connection.
    ServiceRefuses(Hand),
    /// The service takes the call.
    ServiceTakes(Hand),
    /// The service answers.
    ServiceAnswers(Hand),
    /// The connection to the service breaks while it runs the call.
    ServiceBreaks(Hand),
    /// A sidecar's wait is over.
    Waited(Hand),
    /// A sidecar learns that the entry is gone.
    Gone(Hand),
    /// An entry dies.
    EntryDies(Entry),
    /// A sidecar dies.
    SidecarDies(usize),
}
