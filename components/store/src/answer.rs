//! Reads the platform's answers.

use std::time::Duration;

use names::Revision;
use reqwest::{
    Response,
    StatusCode,
    header::RETRY_AFTER, //
};
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};

use crate::{
    Error,
    store::{
        Entry,
        Write, //
    }, //
};

/// Time to come back in when the platform is busy and names none.
const RETRY: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Conflict {
    entry: Option<Entry>,
}

/// A request that never got a connection can't have had an effect; any other may.
pub(crate) fn failure(error: &reqwest::Error) -> Error {
    if error.is_connect() {
        return Error::Unavailable;
    }
    if error.is_builder() {
        return Error::Malformed(error.to_string());
    }
    Error::Unanswered
}

pub(crate) fn retry_after(response: &Response) -> Duration {
    let header = response.headers().get(RETRY_AFTER);
    let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(RETRY, Duration::from_secs)
}

pub(crate) fn expect_ok(response: &Response) -> Result<(), Error> {
    if response.status() == StatusCode::OK {
        return Ok(());
    }
    Err(Error::Malformed(format!("status {}", response.status())))
}

pub(crate) async fn read<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    expect_ok(&response)?;
    body(response).await
}

async fn body<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    // A body that breaks off is a lost answer; one that can't be read is a wrong one.
    let bytes = response.bytes().await.map_err(|error| failure(&error))?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))
}

pub(crate) async fn written(response: Response) -> Result<Write, Error> {
    match response.status() {
        StatusCode::CONFLICT => {
            let conflict: Conflict = body(response).await?;
            Ok(Write::Conflict {
                entry: conflict.entry,
            })
        }
        StatusCode::NOT_FOUND => Err(Error::UnknownLease),
        _ => {
            let written: Written = read(response).await?;
            Ok(Write::Done {
                revision: written.revision,
            })
        }
    }
}
