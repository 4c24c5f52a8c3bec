//! Tasks that panic: they are started again, or reported as lost.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbert_mesh::supervision::{log_panics, panic_count, spawn_restartable, TaskSupervisor};
use tokio::task::LocalSet;

/// Guards against a task that is gone for good after a panic, while the daemon goes on
/// without it.
#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    log_panics();
    let before = panic_count();
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let start = move || -> filbert_mesh::supervision::DaemonTask {
        counted.set(counted.get() + 1);
        let is_first = counted.get() == 1;
        Box::pin(async move {
            assert!(!is_first, "a fault of the first start");
            std::future::pending::<()>().await;
        })
    };
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            spawn_restartable("test", start);
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        })
        .await;
    assert_eq!(starts.get(), 2);
    // The other test's panic may be counted, too.
    assert!(panic_count() > before);
}

/// Guards against a daemon that goes on without a task that cannot be started again.
#[tokio::test]
async fn an_essential_task_that_panics_is_reported_as_lost() {
    let tasks = LocalSet::new();
    let lost = tasks
        .run_until(async {
            let (supervisor, mut lost_tasks) = TaskSupervisor::new();
            supervisor.spawn_essential("ends", Box::pin(async {}));
            supervisor.spawn_essential("panics", Box::pin(async { panic!("a fault") }));
            lost_tasks.recv().await
        })
        .await;
    assert_eq!(lost, Some("panics"));
}
