//! Tests the account that a pool keeps of an organisation's tokens, and the time that
//! it credits for shares that were unused.

use std::iter;
use std::time::{Duration, Instant};

use filbert_policy::organisations::keys::RateLimit;
use filbert_policy::organisations::quota::{LeaseBook, LeaseClaim, QuotaPolicy, TokenPool};
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

/// A renewal at a pool that counted the host's share until 1.2 s after its start, and
/// the time that it credits.
#[rstest]
#[case(1_000, LeaseClaim::Held, 0)]
#[case(1_500, LeaseClaim::Held, 300)]
#[case(9_000, LeaseClaim::Held, 400)]
#[case(9_000, LeaseClaim::Unused(700), 700)]
#[case(1_500, LeaseClaim::Unused(700), 300)]
#[case(1_500, LeaseClaim::Started(700), 300)]
fn a_renewal_credits_only_unused_time(
    #[case] renewed_ms: u64,
    #[case] claim: LeaseClaim,
    #[case] credited_ms: u64,
) {
    let start = Instant::now();
    let mut lease_book = LeaseBook::new(start);
    lease_book.renew("h1", LeaseClaim::Started(0), start);
    let renewed_at = start + Duration::from_millis(renewed_ms);
    let credited = lease_book.renew("h1", claim, renewed_at);
    assert_eq!(credited, Duration::from_millis(credited_ms));
}

/// Guards against a restarted reader whose pool starts empty, as its zone renews its leases
/// before the version with the limits arrives.
#[test]
fn a_pool_keeps_the_credit_of_leases_that_precede_its_limits() {
    let start = Instant::now();
    let policy = QuotaPolicy {
        window: Some(Duration::from_secs(5)),
        slack: 20.0,
    };
    let mut pool = TokenPool::new(policy, start);
    pool.update_share(0.5, start);
    pool.credit(0.5, Duration::from_millis(400));
    let limit = RateLimit {
        per_s: 200.0,
        burst: 100.0,
    };
    pool.apply_limits([("north", limit)].into_iter(), start);
    let grant = pool
        .grant("north", 100, start)
        .expect("a limited organisation");
    assert!(grant.tokens >= 10, "{grant:?}");
    // A limit that is removed and comes back brings no second credit.
    pool.apply_limits(std::iter::empty(), start);
    pool.apply_limits([("north", limit)].into_iter(), start);
    let grant = pool
        .grant("north", 100, start)
        .expect("a limited organisation");
    assert_eq!(grant.tokens, 0);
}
