//! The platform stand-in: an HTTP server with a transactional table (versioned
//! rows, compare-and-set, conditional insert, prefix scan) and an object store.
//! It can inject the platform's faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use filbert_store::{
    GetRequest, InjectedFaults, PlatformStats, PutRequest, ScanRequest, TableRow, WriteCondition,
};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{get, post, put, routes, State};

use crate::rocket_server::{silent_rocket_config, wait_until_listening};

/// Rows, objects, faults and counters of the stand-in, shared between the server
/// and tests.
#[derive(Default)]
pub struct PlatformStore {
    inner: Mutex<StoreInner>,
}

#[derive(Default)]
struct StoreInner {
    /// Version and value of each row, by key.
    rows: BTreeMap<String, (u64, serde_json::Value)>,
    /// Objects by key.
    objects: BTreeMap<String, Vec<u8>>,
    faults: InjectedFaults,
    stats: PlatformStats,
}

/// Response of a handler: a status and a JSON body.
type JsonResponse = (Status, (ContentType, Vec<u8>));

impl PlatformStore {
    fn lock(&self) -> MutexGuard<'_, StoreInner> {
        // A panic with the lock held would be a bug in this stand-in. Every
        // operation leaves the data consistent, so a poisoned lock is still usable.
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: InjectedFaults) {
        self.lock().faults = faults;
    }

    /// Returns the counters.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    /// Writes a row as another writer may: unconditionally, and with a value that the protocol
    /// would not carry.
    pub fn write_row(&self, key: &str, value: serde_json::Value) {
        let mut inner = self.lock();
        let version = inner.rows.get(key).map_or(1, |(version, _)| version + 1);
        inner.rows.insert(key.to_owned(), (version, value));
    }

    /// Injects the faults that precede the handling of a request: waits for the
    /// delay, then fails with status 503 if the platform is set to be down.
    async fn delay_or_fail(&self) -> Result<(), Status> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            Err(Status::ServiceUnavailable)
        } else {
            Ok(())
        }
    }

    /// Whether the response to the current write is to be lost; if so, counts it
    /// against `lose_replies`.
    fn consume_lost_response(inner: &mut StoreInner) -> bool {
        if inner.faults.lose_replies > 0 {
            inner.faults.lose_replies -= 1;
            true
        } else {
            false
        }
    }

    /// Builds a JSON response and counts its bytes.
    fn json_response<T: serde::Serialize>(
        inner: &mut StoreInner,
        status: Status,
        body: &T,
    ) -> JsonResponse {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        inner.stats.bytes_out += bytes.len() as u64;
        (status, (ContentType::JSON, bytes))
    }
}

/// Builds the wire form of a stored row, which is its version and its value.
fn table_row(key: &str, stored: &(u64, serde_json::Value)) -> TableRow {
    TableRow {
        key: key.to_owned(),
        version: stored.0,
        value: stored.1.clone(),
    }
}

#[post("/table/get", data = "<request>")]
async fn table_get(
    store: &State<Arc<PlatformStore>>,
    request: Json<GetRequest>,
) -> Result<JsonResponse, Status> {
    store.delay_or_fail().await?;
    let mut inner = store.lock();
    inner.stats.reads += 1;
    match inner
        .rows
        .get(&request.key)
        .map(|stored| table_row(&request.key, stored))
    {
        Some(found) => Ok(PlatformStore::json_response(&mut inner, Status::Ok, &found)),
        None => Err(Status::NotFound),
    }
}

#[post("/table/put", data = "<request>")]
async fn table_put(
    store: &State<Arc<PlatformStore>>,
    request: Json<PutRequest>,
) -> Result<JsonResponse, Status> {
    store.delay_or_fail().await?;
    let mut inner = store.lock();
    let current = inner
        .rows
        .get(&request.key)
        .map(|stored| table_row(&request.key, stored));
    let is_condition_met = match (request.expect, &current) {
        (WriteCondition::Any, _) | (WriteCondition::Absent, None) => true,
        (WriteCondition::Version(expected), Some(found)) => found.version == expected,
        (WriteCondition::Absent, Some(_)) | (WriteCondition::Version(_), None) => false,
    };
    if !is_condition_met {
        return Ok(PlatformStore::json_response(
            &mut inner,
            Status::Conflict,
            &current,
        ));
    }
    let version = current.map_or(1, |found| found.version + 1);
    inner
        .rows
        .insert(request.key.clone(), (version, request.value.clone()));
    inner.stats.writes += 1;
    if PlatformStore::consume_lost_response(&mut inner) {
        return Err(Status::GatewayTimeout);
    }
    let written = table_row(&request.key, &(version, request.value.clone()));
    Ok(PlatformStore::json_response(
        &mut inner,
        Status::Ok,
        &written,
    ))
}

#[post("/table/scan", data = "<request>")]
async fn table_scan(
    store: &State<Arc<PlatformStore>>,
    request: Json<ScanRequest>,
) -> Result<JsonResponse, Status> {
    store.delay_or_fail().await?;
    let mut inner = store.lock();
    inner.stats.reads += 1;
    let rows: Vec<TableRow> = inner
        .rows
        .range(request.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&request.prefix))
        .map(|(key, stored)| table_row(key, stored))
        .collect();
    Ok(PlatformStore::json_response(&mut inner, Status::Ok, &rows))
}

#[put("/object/<key..>", data = "<data>")]
async fn object_put(store: &State<Arc<PlatformStore>>, key: PathBuf, data: Data<'_>) -> Status {
    if let Err(status) = store.delay_or_fail().await {
        return status;
    }
    let Ok(bytes) = data.open(64.mebibytes()).into_bytes().await else {
        return Status::BadRequest;
    };
    let mut inner = store.lock();
    inner
        .objects
        .insert(key.to_string_lossy().into_owned(), bytes.into_inner());
    inner.stats.writes += 1;
    if PlatformStore::consume_lost_response(&mut inner) {
        return Status::GatewayTimeout;
    }
    Status::Ok
}

#[get("/object/<key..>")]
async fn object_get(store: &State<Arc<PlatformStore>>, key: PathBuf) -> Result<Vec<u8>, Status> {
    store.delay_or_fail().await?;
    let mut inner = store.lock();
    let Some(bytes) = inner.objects.get(&*key.to_string_lossy()).cloned() else {
        return Err(Status::NotFound);
    };
    inner.stats.object_reads += 1;
    inner.stats.bytes_out += bytes.len() as u64;
    Ok(bytes)
}

#[post("/_faults", data = "<faults>")]
fn set_faults(store: &State<Arc<PlatformStore>>, faults: Json<InjectedFaults>) -> Status {
    store.set_faults(faults.into_inner());
    Status::Ok
}

#[get("/_stats")]
fn stats(store: &State<Arc<PlatformStore>>) -> Json<PlatformStats> {
    Json(store.stats())
}

/// Builds the stand-in server for `store`, to listen on the loopback `port`.
#[must_use]
pub fn server(port: u16, store: Arc<PlatformStore>) -> rocket::Rocket<rocket::Build> {
    rocket::custom(silent_rocket_config(port))
        .manage(store)
        .mount(
            "/",
            routes![table_get, table_put, table_scan, object_put, object_get, set_faults, stats],
        )
}

/// A running platform stand-in. Dropping the handle doesn't stop the server: call
/// [`PlatformHandle::stop`].
pub struct PlatformHandle {
    /// Base URL, such as `http://127.0.0.1:7000`.
    pub url: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// State shared with the server, for setting faults and reading counters.
    pub store: Arc<PlatformStore>,
    shutdown: rocket::Shutdown,
}

impl PlatformHandle {
    /// Starts the stand-in on a free loopback port, in the current tokio runtime.
    ///
    /// # Panics
    /// When the server can't start: a test would have nothing to run against.
    pub async fn start() -> PlatformHandle {
        let port = crate::ports::free_port();
        let store = Arc::new(PlatformStore::default());
        let ignited = server(port, Arc::clone(&store))
            .ignite()
            .await
            .expect("failed to start the platform stand-in");
        let shutdown = ignited.shutdown();
        tokio::spawn(ignited.launch());
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        wait_until_listening(port).await;
        PlatformHandle {
            url: format!("http://{address}"),
            address,
            store,
            shutdown,
        }
    }

    /// Stops the server.
    pub fn stop(self) {
        self.shutdown.notify();
    }
}
