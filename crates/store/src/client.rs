//! HTTP client for the platform's table service and object store.

use std::fmt;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use reqwest::StatusCode;

use crate::keys::object_path;
use crate::rows::RowDecoder;
use crate::wire::{
    GetRequest, InjectedFaults, PlatformStats, PutRequest, ScanRequest, TableRow, WriteCondition,
};

/// Maximum size in bytes of a response's body, and of an object that is stored. A version of the
/// largest configurations takes a twentieth of it; a longer one would take the memory of the host.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a request to the platform failed.
///
/// After a failed write, the write may have taken effect unless the variant
/// rules it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No complete response: the connection was refused or reset, or the
    /// request timed out. A write may have taken effect.
    Unreachable,
    /// The platform responded with status 503; the request had no effect.
    Unavailable,
    /// The platform responded with status 504: its response to a write was lost,
    /// and the write may have taken effect.
    OutcomeUnknown,
    /// The response has an unexpected status or body, or the request body
    /// could not be encoded.
    Malformed,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            PlatformError::Unreachable => "platform unreachable",
            PlatformError::Unavailable => "platform unavailable",
            PlatformError::OutcomeUnknown => {
                "platform response lost; the write may have taken effect"
            }
            PlatformError::Malformed => "platform response malformed",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for PlatformError {}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The condition held and the write took effect; holds the stored row.
    Written(TableRow),
    /// The condition did not hold and nothing was written; holds the current
    /// row, or `None` if there is none.
    Refused(Option<TableRow>),
}

/// A client for one platform endpoint. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: String,
    rows: RowDecoder,
}

type PlatformResult<T> = Result<T, Report<PlatformError>>;

impl PlatformClient {
    /// Creates a client for the platform at `base_url` (for example
    /// `http://127.0.0.1:7000`) that fails each request after `timeout`.
    ///
    /// # Panics
    /// If the HTTP client cannot be built. Without TLS this happens only when
    /// the process cannot open sockets.
    #[must_use]
    pub fn new(base_url: &str, timeout: Duration) -> PlatformClient {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            .connect_timeout(timeout)
            .pool_idle_timeout(Duration::from_secs(30))
            .no_proxy()
            .build()
            .expect("an HTTP client without TLS always builds");
        PlatformClient {
            http,
            base_url: base_url.trim_end_matches('/').to_owned(),
            rows: RowDecoder::default(),
        }
    }

    /// The URL of the platform, without a trailing slash.
    #[must_use]
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Reads the row at `key`, or returns `None` if there is none.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform is unreachable or unavailable, or its
    /// response is malformed.
    pub async fn get(&self, key: &str) -> PlatformResult<Option<TableRow>> {
        let body = GetRequest {
            key: key.to_owned(),
        };
        let response = self.send_post("/table/get", &body).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => self.decode_row(response).await.map(Some),
            status => Err(error_for_status(status)),
        }
    }

    /// Writes `value` to the row at `key` if the condition `expect` holds.
    ///
    /// # Errors
    /// [`PlatformError`]. After `Unreachable` or `OutcomeUnknown` the write may
    /// have taken effect, so callers must read the row again before deciding.
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
        let response = self.send_post("/table/put", &body).await?;
        match response.status() {
            StatusCode::CONFLICT => {
                let bytes = read_body(response).await?;
                let row = self.rows.decode_optional_row(&bytes);
                row.map(WriteOutcome::Refused)
                    .change_context(PlatformError::Malformed)
            }
            StatusCode::GATEWAY_TIMEOUT => Err(Report::new(PlatformError::OutcomeUnknown)),
            status if status.is_success() => {
                self.decode_row(response).await.map(WriteOutcome::Written)
            }
            status => Err(error_for_status(status)),
        }
    }

    /// Reads every row whose key starts with `prefix`, in key order. A row that cannot be
    /// decoded is left out; one whose value cannot be decoded has the value `null`.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform is unreachable or unavailable, or its
    /// response is malformed.
    pub async fn scan(&self, prefix: &str) -> PlatformResult<Vec<TableRow>> {
        let body = ScanRequest {
            prefix: prefix.to_owned(),
        };
        let response = self.send_post("/table/scan", &body).await?;
        match response.status() {
            status if status.is_success() => {
                let bytes = read_body(response).await?;
                let rows = self.rows.decode_rows(&bytes);
                rows.change_context(PlatformError::Malformed)
            }
            status => Err(error_for_status(status)),
        }
    }

    /// Stores an object under `key`, replacing any existing object. One that could not be read
    /// again is not sent.
    ///
    /// # Errors
    /// [`PlatformError`]. After `Unreachable` or `OutcomeUnknown` the object may
    /// have been stored.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> PlatformResult<()> {
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(Report::new(PlatformError::Malformed).attach("the object is too long"));
        }
        let path = object_path(key).ok_or(PlatformError::Malformed)?;
        let url = format!("{}{path}", self.base_url);
        let response = self
            .http
            .put(url)
            .body(bytes)
            .send()
            .await
            .change_context(PlatformError::Unreachable)?;
        match response.status() {
            StatusCode::GATEWAY_TIMEOUT => Err(Report::new(PlatformError::OutcomeUnknown)),
            status if status.is_success() => Ok(()),
            status => Err(error_for_status(status)),
        }
    }

    /// Reads the object stored under `key`, or returns `None` if there is none.
    ///
    /// # Errors
    /// [`PlatformError`] when the platform is unreachable or unavailable, or its
    /// response is malformed.
    pub async fn get_object(&self, key: &str) -> PlatformResult<Option<Vec<u8>>> {
        let Some(path) = object_path(key) else {
            return Ok(None);
        };
        let response = self.send_get(&path).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => read_body(response).await.map(Some),
            status => Err(error_for_status(status)),
        }
    }

    /// Sets the faults that the stand-in server injects. Only the stand-in
    /// serves this request; the platform does not.
    ///
    /// # Errors
    /// [`PlatformError`] when the server is unreachable or does not respond with
    /// a success status.
    pub async fn set_faults(&self, faults: InjectedFaults) -> PlatformResult<()> {
        let response = self.send_post("/_faults", &faults).await?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(error_for_status(response.status()))
        }
    }

    /// Reads the request counters of the stand-in server. Only the stand-in
    /// serves this request; the platform does not.
    ///
    /// # Errors
    /// [`PlatformError`] when the server is unreachable or its response is
    /// malformed.
    pub async fn stats(&self) -> PlatformResult<PlatformStats> {
        let response = self.send_get("/_stats").await?;
        let bytes = read_body(response).await?;
        serde_json::from_slice(&bytes).change_context(PlatformError::Malformed)
    }

    async fn decode_row(&self, response: reqwest::Response) -> PlatformResult<TableRow> {
        let bytes = read_body(response).await?;
        let row = self.rows.decode_row(&bytes);
        row.change_context(PlatformError::Malformed)
    }

    async fn send_get(&self, path: &str) -> PlatformResult<reqwest::Response> {
        self.http
            .get(format!("{}{path}", self.base_url))
            .send()
            .await
            .change_context(PlatformError::Unreachable)
            .attach(format!("GET {path}"))
    }

    async fn send_post<B: serde::Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> PlatformResult<reqwest::Response> {
        let bytes = serde_json::to_vec(body).change_context(PlatformError::Malformed)?;
        self.http
            .post(format!("{}{path}", self.base_url))
            .header("content-type", "application/json")
            .body(bytes)
            .send()
            .await
            .change_context(PlatformError::Unreachable)
            .attach(format!("POST {path}"))
    }
}

/// Reads the whole body of `response`.
///
/// # Errors
/// [`PlatformError::Unreachable`] if it is cut or late, [`PlatformError::Malformed`] if it is
/// longer than [`MAX_RESPONSE_BYTES`].
async fn read_body(mut response: reqwest::Response) -> PlatformResult<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(part) = response
        .chunk()
        .await
        .change_context(PlatformError::Unreachable)?
    {
        if body.len() + part.len() > MAX_RESPONSE_BYTES {
            return Err(Report::new(PlatformError::Malformed).attach("the response is too long"));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

fn error_for_status(status: StatusCode) -> Report<PlatformError> {
    let kind = if status == StatusCode::SERVICE_UNAVAILABLE {
        PlatformError::Unavailable
    } else {
        PlatformError::Malformed
    };
    Report::new(kind).attach(format!("status {status}"))
}
