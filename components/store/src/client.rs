//! Client of the platform; each method makes one attempt.

use std::time::Duration;

use bytes::Bytes;
use names::Revision;
use reqwest::{
    Method,
    Response,
    StatusCode,
    Url, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Error,
    answer::{
        decode,
        decode_write,
        expect_ok,
        retry_after,
        transport_error, //
    },
    hosts::Host,
    store::{
        Entry,
        Expect,
        Lease,
        Listing,
        WatchResult,
        Write, //
    }, //
};

/// Maximum number of entries per page of a listing.
const MAX_PAGE_ENTRIES: usize = 500;

/// Default time limit of [`Client::settle`], as a multiple of the timeout of one call.
const SETTLE_TIMEOUT_FACTOR: u32 = 4;

/// A client of the platform. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base_url: Url,
    pub(crate) timeout: Duration,
    pub(crate) settle_timeout: Duration,
}

/// Kind of a call, the label `kind` of the metric `medlarhatch_store_calls_total`.
#[derive(Clone, Copy)]
enum Kind {
    Read,
    Write,
    Lease,
    Watch,
    Hosts,
    Weights,
}

impl Kind {
    fn label(self) -> &'static str {
        match self {
            Kind::Read => "read",
            Kind::Write => "write",
            Kind::Lease => "lease",
            Kind::Watch => "watch",
            Kind::Hosts => "hosts",
            Kind::Weights => "weights",
        }
    }
}

#[derive(Serialize)]
struct Put<'a> {
    key: &'a str,
    value: &'a str,
    expect: Option<Revision>,
    lease: Option<Lease>,
}

#[derive(Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct LeaseBody {
    lease: Lease,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<Host>,
}

impl Client {
    /// Creates a client of the platform at `base_url`, such as `http://10.0.0.1:7000`. Each call
    /// times out after `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if `base_url` is not an `http` URL.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Client, Error> {
        let url = Url::parse(base_url)
            .map_err(|error| Error::Malformed(format!("{base_url} is not a URL: {error}")))?;
        if url.scheme() != "http" || url.cannot_be_a_base() {
            return Err(Error::Malformed(format!("{base_url} is not an http URL")));
        }
        // The HTTP library must not retry on its own, or a write could be sent twice unnoticed.
        let http = reqwest::Client::builder()
            .connect_timeout(timeout)
            .no_proxy()
            .retry(reqwest::retry::never())
            .build()
            .map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Client {
            http,
            base_url: url,
            timeout,
            settle_timeout: timeout * SETTLE_TIMEOUT_FACTOR,
        })
    }

    /// Sets the time limit of [`Client::settle`]; the default is four times the timeout of a call.
    pub fn with_settle_timeout(self, settle_timeout: Duration) -> Client {
        Client {
            settle_timeout,
            ..self
        }
    }

    /// Reads a key; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let url = self.url(&["kv"], &[("key", key)]);
        let response = self.send(Kind::Read, Method::GET, url, None::<&()>).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(response).await
    }

    /// Reads all keys under a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read; pages already read are discarded.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let mut listing = self.page(prefix, "").await?;
        let mut full = listing.entries.len() >= MAX_PAGE_ENTRIES;
        while full {
            let Some(last) = listing.entries.last() else {
                break;
            };
            let page = self.page(prefix, &last.key.clone()).await?;
            full = page.entries.len() >= MAX_PAGE_ENTRIES;
            listing.entries.extend(page.entries);
        }
        Ok(listing)
    }

    async fn page(&self, prefix: &str, after: &str) -> Result<Listing, Error> {
        let limit = MAX_PAGE_ENTRIES.to_string();
        let mut query = vec![("prefix", prefix), ("limit", limit.as_str())];
        if !after.is_empty() {
            query.push(("after", after));
        }
        let url = self.url(&["kv"], &query);
        decode(self.send(Kind::Read, Method::GET, url, None::<&()>).await?).await
    }

    /// Writes a key.
    ///
    /// # Errors
    ///
    /// After [`Error::Unanswered`] or [`Error::Malformed`] the write may have taken effect; after
    /// any other error it had no effect.
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<Lease>,
    ) -> Result<Write, Error> {
        let put = Put {
            key,
            value,
            expect: expect.number(),
            lease,
        };
        let url = self.url(&["kv"], &[]);
        decode_write(self.send(Kind::Write, Method::PUT, url, Some(&put)).await?).await
    }

    /// Deletes a key. Deleting an absent key without a condition succeeds.
    ///
    /// # Errors
    ///
    /// Same as [`Client::put`].
    pub async fn delete(&self, key: &str, expect: Expect) -> Result<Write, Error> {
        let number = expect.number().map(|number| number.to_string());
        let mut query = vec![("key", key)];
        if let Some(number) = &number {
            query.push(("expect", number));
        }
        let url = self.url(&["kv"], &query);
        let response = self
            .send(Kind::Write, Method::DELETE, url, None::<&()>)
            .await?;
        decode_write(response).await
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the revision is too old; list the keys and watch from the listing's
    /// revision. Otherwise any [`Error`] of a read.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResult, Error> {
        let (after, millis) = (after.to_string(), wait.as_millis().to_string());
        let query = [
            ("prefix", prefix),
            ("after", after.as_str()),
            ("wait_ms", millis.as_str()),
        ];
        let url = self.url(&["watch"], &query);
        let timeout = wait + self.timeout;
        let sent = self.send_within(Kind::Watch, Method::GET, url, None::<&()>, timeout);
        decode(sent.await?).await
    }

    /// Acquires a lease with the given time to live.
    ///
    /// # Errors
    ///
    /// Same as [`Client::put`]; a lease whose answer was lost expires on its own.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<Lease, Error> {
        let request = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let url = self.url(&["lease"], &[]);
        let response = self
            .send(Kind::Lease, Method::POST, url, Some(&request))
            .await?;
        let granted: LeaseBody = decode(response).await?;
        Ok(granted.lease)
    }

    /// Extends a lease by its time to live.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownLease`] if the lease has expired; otherwise same as [`Client::put`].
    pub async fn renew_lease(&self, lease: Lease) -> Result<(), Error> {
        self.lease_call("keep", lease).await
    }

    /// Revokes a lease; the store deletes its keys.
    ///
    /// # Errors
    ///
    /// Same as [`Client::put`].
    pub async fn revoke_lease(&self, lease: Lease) -> Result<(), Error> {
        self.lease_call("drop", lease).await
    }

    async fn lease_call(&self, call: &str, lease: Lease) -> Result<(), Error> {
        let url = self.url(&["lease", call], &[]);
        let body = LeaseBody { lease };
        let response = self
            .send(Kind::Lease, Method::POST, url, Some(&body))
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(Error::UnknownLease);
        }
        expect_ok(&response)
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let url = self.url(&["hosts"], &[]);
        let response = self
            .send(Kind::Hosts, Method::GET, url, None::<&()>)
            .await?;
        let list: HostList = decode(response).await?;
        Ok(list.hosts)
    }

    /// Downloads the weights of a model version.
    ///
    /// # Errors
    ///
    /// [`Error::RateLimited`] above the weight store's rate limit; otherwise any [`Error`] of a
    /// read.
    pub async fn weights(&self, model: &str, version: &str) -> Result<Bytes, Error> {
        let url = self.url(&["weights", model, version], &[]);
        let response = self
            .send(Kind::Weights, Method::GET, url, None::<&()>)
            .await?;
        expect_ok(&response)?;
        response
            .bytes()
            .await
            .map_err(|error| transport_error(&error))
    }

    fn url(&self, path: &[&str], query: &[(&str, &str)]) -> Url {
        let mut url = self.base_url.clone();
        url.path_segments_mut()
            .expect("an http URL has a path")
            .pop_if_empty()
            .extend(path);
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        url
    }

    async fn send(
        &self,
        kind: Kind,
        method: Method,
        url: Url,
        body: Option<&impl Serialize>,
    ) -> Result<Response, Error> {
        self.send_within(kind, method, url, body, self.timeout)
            .await
    }

    /// Sends a call and maps the error statuses that are common to all calls.
    async fn send_within(
        &self,
        kind: Kind,
        method: Method,
        url: Url,
        body: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        metrics::counter!("medlarhatch_store_calls_total", "kind" => kind.label()).increment(1);
        let mut request = self.http.request(method, url).timeout(timeout);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request
            .send()
            .await
            .map_err(|error| transport_error(&error))?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited {
                retry_after: retry_after(&response),
            }),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable),
            StatusCode::GONE => Err(Error::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            // After an internal error of the platform a write may still have taken effect.
            status if status.is_server_error() => Err(Error::Unanswered),
            _ => Ok(response),
        }
    }
}
