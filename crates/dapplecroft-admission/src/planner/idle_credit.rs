//! Detects credit that a controller does not spend, so that the leader can revoke it while other
//! controllers refuse jobs.

use super::ControllerView;
use crate::ledger::Ledger;
use crate::records::Bucket;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Credit that stays unchanged for this long is revoked if there is demand elsewhere. Longer than
/// the longest retry hint, so that refused users can come back and spend it first.
const IDLE_CREDIT_TIMEOUT: Duration = Duration::from_secs(16);
/// Minimum time between two revocations of idle credit from the same controller.
const MIN_REVOCATION_INTERVAL: Duration = Duration::from_secs(10);
/// Idle credit is revoked only if it exceeds the limit divided by this: every revocation costs
/// writes.
const MIN_REVOKED_CREDIT_DIVISOR: u64 = 64;

/// A controller's unspent credit in one bucket, and the time since which it has been unchanged.
#[derive(Debug, Clone, Copy)]
struct BucketActivity {
    unspent: u64,
    unchanged_since: Instant,
}

/// Tracks which credit is being spent, by controller and bucket.
#[derive(Debug, Default)]
pub(super) struct IdleCreditTracker {
    buckets: HashMap<(String, Bucket), BucketActivity>,
    last_revoked: HashMap<String, Instant>,
}

impl IdleCreditTracker {
    /// Whether a controller has so much idle credit that its epoch should be ended. A positive answer
    /// is recorded as a revocation.
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
        // Credit set aside for submissions with an unknown outcome is idle too.
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
