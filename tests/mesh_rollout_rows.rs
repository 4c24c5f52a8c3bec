//! Roll-outs of a service whose row in the store another writer has taken.

#[path = "support/rollout.rs"]
mod rollout;
#[path = "support/users.rs"]
mod users;

use std::time::Duration;

use rollout::{order_rollout, reaches_state, start_old_fleet};
use rstest::rstest;

const HOSTS_TABLE: &str = "filbert-hosts";
const KEY: &str = "rollout/quotes";

/// When another writer writes the row of a roll-out.
enum ForeignWrite {
    BeforeOrder,
    AfterOrder,
}

/// Guards against a roll-out that is never written, so that the operator never reads how it
/// ends: the condition of the write names the version of a row that can be read.
#[rstest]
#[case::before(ForeignWrite::BeforeOrder)]
#[case::after(ForeignWrite::AfterOrder)]
#[tokio::test]
async fn an_unreadable_row_does_not_keep_a_roll_out_from_its_end(#[case] write: ForeignWrite) {
    let fleet = start_old_fleet().await;
    let allowed = Duration::from_secs(4);
    match write {
        ForeignWrite::BeforeOrder => {
            fleet.store.put(HOSTS_TABLE, KEY, b"of another writer");
            order_rollout(&fleet.store, "v2", allowed);
        }
        ForeignWrite::AfterOrder => {
            order_rollout(&fleet.store, "v2", allowed);
            assert!(reaches_state(&fleet.store, "running", Duration::from_secs(2)).await);
            fleet.store.put(HOSTS_TABLE, KEY, b"of another writer");
        }
    }
    assert!(
        reaches_state(&fleet.store, "rolled_back", allowed).await,
        "{}",
        fleet.hosts[0].log()
    );
}
