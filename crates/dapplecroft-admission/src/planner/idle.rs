//! Credit that nobody spends, to be taken back while others are refused.

use super::ControllerView;
use crate::ledger::Ledger;
use crate::records::Bucket;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Credit that has not been touched for so long is taken back if it is wanted elsewhere:
/// longer than refused users are told to wait.
const IDLE: Duration = Duration::from_secs(16);
/// A controller's epoch is not ended more often than this for idle credit.
const REST: Duration = Duration::from_secs(10);
/// Less than this part of the limit is left where it is: taking it back costs changes.
const TRIFLE: u64 = 64;

/// Since when a bucket's credit at a controller has been as it is.
#[derive(Debug, Clone, Copy)]
struct Untouched {
    left: u64,
    since: Instant,
}

/// Watches which credit is spent.
#[derive(Debug, Default)]
pub(super) struct IdleWatch {
    buckets: HashMap<(String, Bucket), Untouched>,
    taken_back: HashMap<String, Instant>,
}

impl IdleWatch {
    /// Whether a controller has so much idle credit that its epoch should end.
    pub(super) fn is_idle(
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
        for (bucket, left) in unspent {
            let fresh = Untouched { left, since: now };
            let known = self.buckets.entry((host.clone(), bucket)).or_insert(fresh);
            if known.left != left {
                *known = fresh;
            }
            if now.saturating_duration_since(known.since) >= IDLE {
                idle += left;
            }
        }
        // What is set aside for unknown submissions is untouched too.
        let rested = self.taken_back.get(host).is_none_or(|at| now.saturating_duration_since(*at) >= REST);
        let worth = idle.max(controller.stuck) > limit / TRIFLE;
        if worth && rested {
            self.taken_back.insert(host.clone(), now);
            self.buckets.retain(|(other, _), _| other != host);
        }
        worth && rested
    }
}
