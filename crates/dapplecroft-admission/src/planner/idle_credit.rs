//! Credit that nobody spends, to be taken back while others are refused.

use super::ControllerView;
use crate::ledger::Ledger;
use crate::records::Bucket;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Credit that has not been touched for so long is taken back if it is wanted elsewhere:
/// longer than refused users are told to wait.
const IDLE_CREDIT_TIMEOUT: Duration = Duration::from_secs(16);
/// A controller's epoch is not ended more often than this for idle credit.
const MIN_REVOCATION_INTERVAL: Duration = Duration::from_secs(10);
/// Less than this part of the limit is left where it is: taking it back costs changes.
const MIN_REVOKED_CREDIT_DIVISOR: u64 = 64;

/// Since when a bucket's credit at a controller has been as it is.
#[derive(Debug, Clone, Copy)]
struct BucketActivity {
    unspent: u64,
    unchanged_since: Instant,
}

/// Watches which credit is spent.
#[derive(Debug, Default)]
pub(super) struct IdleCreditTracker {
    buckets: HashMap<(String, Bucket), BucketActivity>,
    last_revoked: HashMap<String, Instant>,
}

impl IdleCreditTracker {
    /// Whether a controller has so much idle credit that its epoch should end.
    pub(super) fn should_revoke(
        &mut self,
        ledger: &Ledger,
        controller: &ControllerView,
        limit: u64,
        now: Instant,
    ) -> bool {
        let host = &controller.host;
        let unspent = ledger.unspent(host);
        self.buckets.retain(|(other, bucket), _| other != host || unspent.contains_key(bucket));
        let mut idle = 0;
        for (bucket, unspent) in unspent {
            let unchanged_from_now = BucketActivity { unspent, unchanged_since: now };
            let known = self.buckets.entry((host.clone(), bucket)).or_insert(unchanged_from_now);
            if known.unspent != unspent {
                *known = unchanged_from_now;
            }
            if now.saturating_duration_since(known.unchanged_since) >= IDLE_CREDIT_TIMEOUT {
                idle += unspent;
            }
        }
        // What is set aside for unknown submissions is untouched too.
        let interval_elapsed = self
            .last_revoked
            .get(host)
            .is_none_or(|at| now.saturating_duration_since(*at) >= MIN_REVOCATION_INTERVAL);
        let enough = idle.max(controller.unsettled_credit) > limit / MIN_REVOKED_CREDIT_DIVISOR;
        if enough && interval_elapsed {
            self.last_revoked.insert(host.clone(), now);
            self.buckets.retain(|(other, _), _| other != host);
        }
        enough && interval_elapsed
    }
}
