//! Writes the shutdowns that the target announces to the store.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use filbert_platform::store::RowEdit;
use filbert_policy::instance::InstanceKey;
use filbert_policy::store_access::{backoff_delay, StoreAccess};
use rand::Rng;
use tokio::sync::Notify;

use super::row::{shutdown_row_key, ShutdownRow};
use crate::rows::HOSTS_TABLE;
use crate::state::MeshShared;

/// Maximum time for which an acknowledgement waits for the store. A target takes an
/// acknowledgement within a second.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of instances whose shutdown is remembered as written or being written.
const MAX_INSTANCES: usize = 16;

/// A shutdown that the target has announced.
struct AnnouncedShutdown {
    instance: InstanceKey,
    /// Whether the store has confirmed the row.
    is_stored: bool,
}

/// Writes the shutdowns that the target on this host announces to the store.
pub struct ShutdownRecorder {
    shared: Rc<MeshShared>,
    /// Shutdowns announced to this process, newest last.
    announced: RefCell<VecDeque<AnnouncedShutdown>>,
    /// Notified when the store has confirmed a row.
    row_stored: Notify,
}

impl ShutdownRecorder {
    /// Creates a recorder without announced shutdowns.
    #[must_use]
    pub fn new(shared: Rc<MeshShared>) -> Rc<ShutdownRecorder> {
        Rc::new(ShutdownRecorder {
            shared,
            announced: RefCell::default(),
            row_stored: Notify::new(),
        })
    }

    /// Has the shutdown of `instance` written, and waits for the store. Returns whether
    /// the store has confirmed it; otherwise the write goes on in the background.
    ///
    /// Guards against an acknowledgement that is forgotten: all daemons are killed, a
    /// report that the target sent before arrives at the new process, and the target gets
    /// calls again, some of which it does not finish.
    pub async fn record(self: &Rc<Self>, instance: &InstanceKey) -> bool {
        if self.remember(instance) {
            let recorder = Rc::clone(self);
            let instance = instance.clone();
            tokio::task::spawn_local(async move { recorder.write(&instance).await });
        }
        let stored = async {
            loop {
                let row_stored = self.row_stored.notified();
                if self.is_stored(instance) {
                    return;
                }
                row_stored.await;
            }
        };
        tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, stored)
            .await
            .is_ok()
    }

    /// Records that `instance` announces its shutdown. Returns whether this is news.
    fn remember(&self, instance: &InstanceKey) -> bool {
        let mut announced = self.announced.borrow_mut();
        if announced.iter().any(|known| known.instance == *instance) {
            return false;
        }
        if announced.len() >= MAX_INSTANCES {
            announced.pop_front();
        }
        announced.push_back(AnnouncedShutdown {
            instance: instance.clone(),
            is_stored: false,
        });
        true
    }

    fn is_stored(&self, instance: &InstanceKey) -> bool {
        let announced = self.announced.borrow();
        announced
            .iter()
            .any(|known| known.instance == *instance && known.is_stored)
    }

    /// Writes the row of `instance`, again and again until the store confirms it or the
    /// shutdown is forgotten here.
    async fn write(&self, instance: &InstanceKey) {
        let shared = &self.shared;
        let key = shutdown_row_key(&shared.settings.borrow().id, instance);
        let row = ShutdownRow::new(instance.clone(), &shared.clock.reading());
        let mut failures = 0;
        loop {
            let edit = RowEdit {
                table: HOSTS_TABLE,
                key: &key,
                value: Some(row.value()),
            };
            match shared.store.edit_rows(&[edit]).await {
                Ok(()) => {
                    shared.metrics.record_store_call("shutdown", "answered");
                    log::info!("event=shutdown_stored instance={instance} failures={failures}");
                    return self.mark_stored(instance);
                }
                Err(report) => {
                    shared.metrics.record_store_call("shutdown", "failed");
                    if failures == 0 {
                        let cause = report.current_context();
                        log::warn!("event=shutdown_unstored instance={instance} error=\"{cause}\"");
                    }
                }
            }
            failures += 1;
            if !self.is_announced(instance) {
                return;
            }
            let jitter = rand::rng().random();
            tokio::time::sleep(backoff_delay(failures, StoreAccess::ForOwnHost, jitter)).await;
        }
    }

    fn is_announced(&self, instance: &InstanceKey) -> bool {
        let announced = self.announced.borrow();
        announced.iter().any(|known| known.instance == *instance)
    }

    fn mark_stored(&self, instance: &InstanceKey) {
        let mut announced = self.announced.borrow_mut();
        if let Some(known) = announced
            .iter_mut()
            .find(|known| known.instance == *instance)
        {
            known.is_stored = true;
        }
        self.row_stored.notify_waiters();
    }
}
