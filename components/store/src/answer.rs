//! Decodes the platform's answers.

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

/// Retry delay if the platform limits the rate without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Conflict {
    entry: Option<Entry>,
}

/// Classifies a transport error. A request without a connection can't have had an effect; any other
/// request may have.
pub(crate) fn transport_error(error: &reqwest::Error) -> Error {
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
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

pub(crate) fn expect_ok(response: &Response) -> Result<(), Error> {
    if response.status() == StatusCode::OK {
        return Ok(());
    }
    Err(Error::Malformed(format!("status {}", response.status())))
}

pub(crate) async fn decode<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    expect_ok(&response)?;
    decode_body(response).await
}

async fn decode_body<T: DeserializeOwned>(response: Response) -> Result<T, Error> {
    // A truncated body counts as a lost answer, an undecodable one as malformed.
    let bytes = response
        .bytes()
        .await
        .map_err(|error| transport_error(&error))?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))
}

pub(crate) async fn decode_write(response: Response) -> Result<Write, Error> {
    match response.status() {
        StatusCode::CONFLICT => {
            let conflict: Conflict = decode_body(response).await?;
            Ok(Write::Conflict {
                entry: conflict.entry,
            })
        }
        StatusCode::NOT_FOUND => Err(Error::UnknownLease),
        _ => {
            let written: Written = decode(response).await?;
            Ok(Write::Applied {
                revision: written.revision,
            })
        }
    }
}
