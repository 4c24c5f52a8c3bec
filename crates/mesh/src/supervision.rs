//! Watches the daemon's tasks: a panic is logged and counted, and the task that it ended
//! is started again, or ends the process.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;

/// Delay before a task that panicked is started again. One that panics at once each time
/// must not take the processor from the others.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Number of panics since the start of the process.
static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

/// Has each panic of the process logged and counted, in whichever task it happens.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        PANIC_COUNT.fetch_add(1, Ordering::Relaxed);
        log::error!("event=panicked error={:?}", panic.to_string());
    }));
}

/// Number of panics since the start of the process.
#[must_use]
pub fn panic_count() -> u64 {
    PANIC_COUNT.load(Ordering::Relaxed)
}

/// A task that the daemon runs.
pub type DaemonTask = Pin<Box<dyn Future<Output = ()>>>;

/// Starts the daemon's long-running tasks on the current `LocalSet`.
pub struct TaskSupervisor {
    lost_tasks: mpsc::UnboundedSender<&'static str>,
}

impl TaskSupervisor {
    /// Creates a supervisor, and the receiver of the names of tasks that are lost for good.
    /// The daemon must end then.
    #[must_use]
    pub fn new() -> (TaskSupervisor, mpsc::UnboundedReceiver<&'static str>) {
        let (lost_tasks, receiver) = mpsc::unbounded_channel();
        (TaskSupervisor { lost_tasks }, receiver)
    }

    /// Runs `task`, which cannot be started again, as it owns what would be lost with it.
    pub fn spawn_essential(&self, name: &'static str, task: DaemonTask) {
        let lost_tasks = self.lost_tasks.clone();
        tokio::task::spawn_local(async move {
            if tokio::task::spawn_local(task).await.is_err() {
                log::error!("event=task_lost task={name}");
                // The receiver is gone only while the process ends.
                let _ = lost_tasks.send(name);
            }
        });
    }
}

/// Runs the task that `start` creates, and starts it again when it panics.
pub fn spawn_restartable(name: &'static str, start: impl Fn() -> DaemonTask + 'static) {
    tokio::task::spawn_local(async move {
        while tokio::task::spawn_local(start()).await.is_err() {
            log::error!("event=task_restarted task={name}");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
