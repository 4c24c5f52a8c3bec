//! Tests the account that a pool keeps of an organisation's tokens.

use std::iter;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{QuotaPolicy, TokenPool};
use rstest::rstest;

const ORGANISATION: &str = "north";
const LIMIT: RateLimit = RateLimit {
    per_s: 100.0,
    burst: 100.0,
};
const WINDOW: Duration = Duration::from_secs(5);

/// Demand at a pool that generates half of all tokens, and what its account shows.
struct AccountCase {
    /// Number of tokens requested every 100 ms.
    wanted: u32,
    /// Fractions of the limit between which the granted share must be.
    granted_share: (f64, f64),
    loses_tokens: bool,
}

/// Guards against an account that does not tell a limit that was used up from one that
/// was not.
#[rstest]
#[case(AccountCase { wanted: 0, granted_share: (0.0, 0.0), loses_tokens: true })]
#[case(AccountCase { wanted: 3, granted_share: (0.24, 0.26), loses_tokens: true })]
#[case(AccountCase { wanted: 50, granted_share: (0.47, 0.51), loses_tokens: false })]
fn each_token_is_granted_or_lost(#[case] case: AccountCase) {
    let policy = QuotaPolicy {
        window: Some(WINDOW),
        slack: 20.0,
    };
    let start = Instant::now();
    let mut pool = TokenPool::new(policy, start);
    pool.apply_limits(iter::once((ORGANISATION, LIMIT)), start);
    pool.update_share(0.5, start);
    let mut now = start;
    for _ in 0..200 {
        now += Duration::from_millis(100);
        pool.grant(ORGANISATION, case.wanted, now).expect("a limit");
    }
    let accounts = pool.accounts(now);
    let (name, account) = accounts[0];
    assert_eq!(name, ORGANISATION);
    let left = account.generated - f64::from(u32::try_from(account.granted).expect("small"));
    assert!(left - account.lost_full >= -0.01, "{account:?}");
    assert!(left - account.lost_full <= 20.01, "{account:?}");
    assert_eq!(account.lost_full > 1.0, case.loses_tokens, "{account:?}");
    let (lowest, highest) = case.granted_share;
    assert!(
        (lowest..=highest).contains(&account.granted_share),
        "{account:?}"
    );
}

/// Guards against tokens that are generated for the time before a host leased its
/// share to the pool.
#[test]
fn a_share_counts_only_from_its_lease_on() {
    let policy = QuotaPolicy {
        window: Some(WINDOW),
        slack: 20.0,
    };
    let start = Instant::now();
    let mut pool = TokenPool::new(policy, start);
    pool.apply_limits(iter::once((ORGANISATION, LIMIT)), start);
    let leased_at = start + Duration::from_secs(10);
    pool.update_share(1.0, leased_at);
    let grant = pool.grant(ORGANISATION, 100, leased_at + Duration::from_millis(100));
    assert!(grant.expect("a limit").tokens <= 12);
}
