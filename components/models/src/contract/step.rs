//! Steps of the model.

/// Index of a request, which is also the index of its entry.
pub type EntryIndex = usize;

/// Index of a call among those that sidecars forward now.
pub type ForwardingIndex = usize;

/// How a call to the store completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Completion {
    /// The call is executed, and the response arrives.
    Answered,
    /// The response arrives only after the time limit for forwarding the call.
    AnsweredLate,
    /// The call is executed, and the response is lost.
    AnswerLost,
    /// The call times out. It may be executed at any later time, or never.
    Delayed,
    /// The store responds that it is unavailable.
    Refused,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The caller's request arrives at its entry.
    Request(EntryIndex),
    /// The oldest frame of an entry arrives at its sidecar.
    Frame(EntryIndex),
    /// The oldest frame of an entry arrives at its sidecar and will arrive once more.
    FrameTwice(EntryIndex),
    /// Sending a frame fails.
    Unsent(EntryIndex),
    /// A sidecar's reply arrives.
    Reply(EntryIndex),
    /// An entry's wait for its sidecar times out.
    Silent(EntryIndex),
    /// A call of an entry to the store ends.
    EntryStore(EntryIndex, Completion),
    /// A call of a sidecar to the store ends.
    SidecarStore(ForwardingIndex, Completion),
    /// A delayed write is executed.
    LateWrite(usize),
    /// The service refuses the connection.
    ServiceRefuses(ForwardingIndex),
    /// The service starts to run the call.
    ServiceTakes(ForwardingIndex),
    /// The service responds.
    ServiceAnswers(ForwardingIndex),
    /// The connection to the service breaks while the service runs the call.
    ServiceBreaks(ForwardingIndex),
    /// A sidecar's timer fires.
    Waited(ForwardingIndex),
    /// A sidecar learns that the entry is gone.
    Gone(ForwardingIndex),
    /// An entry dies.
    EntryDies(EntryIndex),
    /// A sidecar dies.
    SidecarDies(usize),
}
