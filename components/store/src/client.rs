//! Calls to the platform, one attempt each.

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
        expect_ok,
        failure,
        read,
        retry_after,
        written, //
    },
    hosts::Host,
    store::{
        Change,
        Entry,
        Expect,
        Lease,
        Listing,
        Write, //
    }, //
};

/// Entries asked for in one page of a listing.
const PAGE: usize = 500;

/// How long reads are retried, in units of one call's time-out, unless set otherwise.
const SETTLE_TIMEOUT_FACTOR: u32 = 4;

/// A client of the platform. Clones share connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: Url,
    pub(crate) timeout: Duration,
    pub(crate) settle_timeout: Duration,
}

/// Kind of a store call, as the metric `medlarhatch_store_calls_total` tells them apart.
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
struct Grant {
    ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct Leased {
    lease: Lease,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

impl Client {
    /// Makes a client for the platform at `base`, such as `http://10.0.0.1:7000`. Each call must
    /// answer within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when `base` is no URL.
    pub fn new(base: &str, timeout: Duration) -> Result<Client, Error> {
        let url = Url::parse(base)
            .map_err(|error| Error::Malformed(format!("{base} is no URL: {error}")))?;
        if url.scheme() != "http" || url.cannot_be_a_base() {
            return Err(Error::Malformed(format!("{base} is no http URL")));
        }
        // Retries are decided here and by callers: a write must not be sent twice unseen.
        let http = reqwest::Client::builder()
            .connect_timeout(timeout)
            .no_proxy()
            .retry(reqwest::retry::never())
            .build()
            .map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Client {
            http,
            base: url,
            timeout,
            settle_timeout: timeout * SETTLE_TIMEOUT_FACTOR,
        })
    }

    /// Sets for how long [`Client::settle`] goes on; four time-outs otherwise.
    pub fn with_settle_timeout(self, settle_timeout: Duration) -> Client {
        Client {
            settle_timeout,
            ..self
        }
    }

    /// Reads a key.
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
        read(response).await
    }

    /// Reads all keys under a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read; pages before it are thrown away.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let mut listing = self.page(prefix, "").await?;
        let mut full = listing.entries.len() >= PAGE;
        while full {
            let Some(last) = listing.entries.last() else {
                break;
            };
            let page = self.page(prefix, &last.key.clone()).await?;
            full = page.entries.len() >= PAGE;
            listing.entries.extend(page.entries);
        }
        Ok(listing)
    }

    async fn page(&self, prefix: &str, after: &str) -> Result<Listing, Error> {
        let limit = PAGE.to_string();
        let mut query = vec![("prefix", prefix), ("limit", limit.as_str())];
        if !after.is_empty() {
            query.push(("after", after));
        }
        let url = self.url(&["kv"], &query);
        read(self.send(Kind::Read, Method::GET, url, None::<&()>).await?).await
    }

    /// Writes a key.
    ///
    /// # Errors
    ///
    /// [`Error::Unanswered`] leaves open whether the write took effect; all others say that it
    /// didn't, but for [`Error::Malformed`].
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
        written(self.send(Kind::Write, Method::PUT, url, Some(&put)).await?).await
    }

    /// Deletes a key. Deleting an absent key without a condition is no error.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
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
        written(response).await
    }

    /// Waits for a change under a prefix after a revision, at most for `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] when the revision is too old: list, and watch from there.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Change, Error> {
        let (after, millis) = (after.to_string(), wait.as_millis().to_string());
        let query = [
            ("prefix", prefix),
            ("after", after.as_str()),
            ("wait_ms", millis.as_str()),
        ];
        let url = self.url(&["watch"], &query);
        let time = wait + self.timeout;
        let sent = self.send_within(Kind::Watch, Method::GET, url, None::<&()>, time);
        read(sent.await?).await
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// As [`Client::put`]; a lease whose answer was lost lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<Lease, Error> {
        let grant = Grant {
            ttl_ms: ttl.as_millis() as u64,
        };
        let url = self.url(&["lease"], &[]);
        let response = self
            .send(Kind::Lease, Method::POST, url, Some(&grant))
            .await?;
        let leased: Leased = read(response).await?;
        Ok(leased.lease)
    }

    /// Prolongs a lease by its time.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownLease`] once it has lapsed.
    pub async fn renew_lease(&self, lease: Lease) -> Result<(), Error> {
        self.on_lease("keep", lease).await
    }

    /// Ends a lease; its keys go.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn revoke_lease(&self, lease: Lease) -> Result<(), Error> {
        self.on_lease("drop", lease).await
    }

    async fn on_lease(&self, call: &str, lease: Lease) -> Result<(), Error> {
        let url = self.url(&["lease", call], &[]);
        let body = Leased { lease };
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
        let list: Hosts = read(response).await?;
        Ok(list.hosts)
    }

    /// Reads a version's weights.
    ///
    /// # Errors
    ///
    /// [`Error::RateLimited`] over the weight store's rate.
    pub async fn weights(&self, model: &str, version: &str) -> Result<Bytes, Error> {
        let url = self.url(&["weights", model, version], &[]);
        let response = self
            .send(Kind::Weights, Method::GET, url, None::<&()>)
            .await?;
        expect_ok(&response)?;
        response.bytes().await.map_err(|error| failure(&error))
    }

    fn url(&self, path: &[&str], query: &[(&str, &str)]) -> Url {
        let mut url = self.base.clone();
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

    /// Sends a call and sorts out the answers that any call can get.
    async fn send_within(
        &self,
        kind: Kind,
        method: Method,
        url: Url,
        body: Option<&impl Serialize>,
        time: Duration,
    ) -> Result<Response, Error> {
        metrics::counter!("medlarhatch_store_calls_total", "kind" => kind.label()).increment(1);
        let mut request = self.http.request(method, url).timeout(time);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| failure(&error))?;
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited {
                retry_after: retry_after(&response),
            }),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable),
            StatusCode::GONE => Err(Error::Compacted),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            // A fault inside the platform says nothing about the write's effect.
            status if status.is_server_error() => Err(Error::Unanswered),
            _ => Ok(response),
        }
    }
}
