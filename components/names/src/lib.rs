//! Identifiers and units that every crate shares.
//!
//! They are aliases: an identifier is whatever text or number the operator, the caller or the
//! platform gave. Monotonic times inside decision code are a [`Clock`] reading, so that the same
//! code runs on real time in a daemon and on made-up time in tests and models.

use std::time::Duration;

/// Name of a host, as the platform's host list and its certificate give it.
pub type Host = String;

/// Name of a data centre.
pub type DataCentre = String;

/// Name of a team: the unit of limits and of fairness.
pub type Team = String;

/// Name of a service that a document describes: a model or a plain service.
pub type Service = String;

/// Name of a version of a service.
pub type Version = String;

/// Name of a backend server; one sidecar stands beside each.
pub type Server = String;

/// Name of a route of a document.
pub type Route = String;

/// Name of an environment, such as `production`.
pub type Environment = String;

/// Name of a move, unique within its environment.
pub type Move = String;

/// A request's identity: the caller's `Idempotency-Key` with its team, or one made by the entry.
pub type Request = String;

/// Number of one run of a request; it grows by one with each run that replaces another.
pub type Epoch = u32;

/// Random number that tells two runs or two writes with equal names apart.
pub type Nonce = u64;

/// Position of a token in an answer, from 0.
pub type Index = u64;

/// Revision number of the platform's store: each write gets a higher one; 0 is "never written".
pub type Revision = u64;

/// Fencing token of an order: the store's revision at which the order was issued.
pub type Fence = u64;

/// A monotonic clock reading: time since an origin that the driver of the code chooses.
pub type Clock = Duration;
