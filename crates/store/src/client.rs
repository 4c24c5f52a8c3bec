//! HTTP client for the platform's table and object store.

use std::fmt;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use reqwest::StatusCode;

use crate::wire::{
    GetRequest, InjectedFaults, PlatformStats, PutRequest, ScanRequest, TableRow, WriteCondition,
};

/// Why a platform call failed. A failed read changed nothing; a failed write
/// may or may not have taken effect unless the variant says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer: refused, reset or timed out. A write's outcome is unknown.
    Unreachable,
    /// The platform answered that it is unavailable; nothing was done.
    Unavailable,
    /// The platform lost the reply to a write that may have taken effect.
    OutcomeUnknown,
    /// The reply did not have the expected shape.
    Malformed,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            PlatformError::Unreachable => "platform unreachable",
            PlatformError::Unavailable => "platform unavailable",
            PlatformError::OutcomeUnknown => {
                "platform lost the reply; the write may have taken effect"
            }
            PlatformError::Malformed => "platform reply malformed",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for PlatformError {}

/// The outcome of a conditional write that got an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; the row as stored.
    Written(TableRow),
    /// The condition did not hold; the row as it is now (`None` if absent).
    Refused(Option<TableRow>),
}

/// A client for one platform endpoint. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base: String,
}

type PlatformResult<T> = Result<T, Report<PlatformError>>;

impl PlatformClient {
    /// A client for the platform at `base` (for example `http://127.0.0.1:7000`),
    /// giving up on each call after `timeout`.
    ///
    /// # Panics
    /// When the TLS-less HTTP client cannot be built, which means the process
    /// cannot open sockets at all.
    #[must_use]
    pub fn new(base: &str, timeout: Duration) -> PlatformClient {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            .connect_timeout(timeout)
            .pool_idle_timeout(Duration::from_secs(30))
            .build()
            .expect("an HTTP client without TLS always builds");
        PlatformClient {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// The platform's base address.
    #[must_use]
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Reads one row; `None` when absent.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform cannot be reached or answers badly.
    pub async fn get(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        let body = GetRequest {
            key: key.to_owned(),
        };
        let reply = self.post("/table/get", &body).await?;
        match reply.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => decode(reply).await.map(Some),
            status => Err(status_error(status)),
        }
    }

    /// Writes a row if `expect` holds.
    ///
    /// # Errors
    /// [`PlatformError`]; after `Unreachable` or `OutcomeUnknown` the write may
    /// have taken effect, so callers re-read before deciding.
    pub async fn put(
        &self,
        key: &str,
        expect: WriteCondition,
        value: serde_json::Value,
    ) -> PlatformResult<WriteOutcome> {
        let body = PutRequest {
            key: key.to_owned(),
            expect,
            value,
        };
        let reply = self.post("/table/put", &body).await?;
        match reply.status() {
            StatusCode::CONFLICT => decode::<Option<TableRow>>(reply)
                .await
                .map(WriteOutcome::Refused),
            StatusCode::GATEWAY_TIMEOUT => Err(Report::new(PlatformError::OutcomeUnknown)),
            status if status.is_success() => decode(reply).await.map(WriteOutcome::Written),
            status => Err(status_error(status)),
        }
    }

    /// Reads every row whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform cannot be reached or answers badly.
    pub async fn scan(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        let body = ScanRequest {
            prefix: prefix.to_owned(),
        };
        let reply = self.post("/table/scan", &body).await?;
        match reply.status() {
            status if status.is_success() => decode(reply).await,
            status => Err(status_error(status)),
        }
    }

    /// Stores an object under `key`, replacing any earlier one.
    ///
    /// # Errors
    /// [`PlatformError`]; after `Unreachable` the object may have been stored.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> PlatformResult<()> {
        let url = format!("{}/object/{key}", self.base);
        let reply = self
            .http
            .put(url)
            .body(bytes)
            .send()
            .await
            .change_context(PlatformError::Unreachable)?;
        match reply.status() {
            StatusCode::GATEWAY_TIMEOUT => Err(Report::new(PlatformError::OutcomeUnknown)),
            status if status.is_success() => Ok(()),
            status => Err(status_error(status)),
        }
    }

    /// Fetches an object; `None` when absent.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform cannot be reached or answers badly.
    pub async fn get_object(&self, key: &str) -> PlatformResult<Option<Vec<u8>>> {
        let reply = self.fetch(&format!("/object/{key}")).await?;
        match reply.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => {
                let bytes = reply
                    .bytes()
                    .await
                    .change_context(PlatformError::Unreachable)?;
                Ok(Some(bytes.to_vec()))
            }
            status => Err(status_error(status)),
        }
    }

    /// Sets the stand-in's fault switches. Only the stand-in answers this.
    ///
    /// # Errors
    /// [`PlatformError`] when the stand-in cannot be reached.
    pub async fn set_faults(&self, switches: InjectedFaults) -> PlatformResult<()> {
        let reply = self.post("/_faults", &switches).await?;
        if reply.status().is_success() {
            Ok(())
        } else {
            Err(status_error(reply.status()))
        }
    }

    /// Reads the stand-in's counts. Only the stand-in answers this.
    ///
    /// # Errors
    /// [`PlatformError`] when the stand-in cannot be reached.
    pub async fn stats(&self) -> PlatformResult<PlatformStats> {
        let reply = self.fetch("/_stats").await?;
        decode(reply).await
    }

    async fn fetch(&self, path: &str) -> PlatformResult<reqwest::Response> {
        self.http
            .get(format!("{}{path}", self.base))
            .send()
            .await
            .change_context(PlatformError::Unreachable)
            .attach(format!("GET {path}"))
    }

    async fn post<B: serde::Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> PlatformResult<reqwest::Response> {
        let bytes = serde_json::to_vec(body).change_context(PlatformError::Malformed)?;
        self.http
            .post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(bytes)
            .send()
            .await
            .change_context(PlatformError::Unreachable)
            .attach(format!("POST {path}"))
    }
}

async fn decode<T: serde::de::DeserializeOwned>(reply: reqwest::Response) -> PlatformResult<T> {
    let bytes = reply
        .bytes()
        .await
        .change_context(PlatformError::Unreachable)?;
    serde_json::from_slice(&bytes).change_context(PlatformError::Malformed)
}

fn status_error(status: StatusCode) -> Report<PlatformError> {
    let kind = if status == StatusCode::SERVICE_UNAVAILABLE {
        PlatformError::Unavailable
    } else {
        PlatformError::Malformed
    };
    Report::new(kind).attach(format!("status {status}"))
}
