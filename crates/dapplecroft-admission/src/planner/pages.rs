//! Writes grants to grant pages. A page is one record with the grants of several controllers, as
//! many as fit the maximum size of a value.

use super::Grants;
use crate::ledger::Ledger;
use crate::records::{Bucket, EpochRecord, GrantPage, HostGrant};
use std::collections::BTreeMap;

/// Upper bound of the stored size of a page. A character outside ASCII counts as if it were
/// written as `\uXXXX` escapes, its longest JSON form.
fn max_stored_bytes(page: &GrantPage) -> usize {
    let text = serde_json::to_string(page).unwrap_or_default();
    text.chars().map(|c| if c.is_ascii() { 1 } else { 6 * c.len_utf16() }).sum()
}

/// The pages that change when `grants` are added, at most `max_pages`. Grants on further pages are
/// left for a later round.
pub(super) fn changed_pages(
    ledger: &Ledger,
    epochs: &BTreeMap<String, EpochRecord>,
    grants: &Grants,
    max_value_bytes: usize,
    max_pages: usize,
) -> BTreeMap<u32, GrantPage> {
    let mut all: BTreeMap<u32, GrantPage> =
        ledger.pages().iter().map(|(page, (record, _))| (*page, record.clone())).collect();
    let mut changed = BTreeMap::new();
    for (host, added) in grants {
        let grant = match (epochs.get(host), ledger.epoch(host)) {
            (Some(next), _) => HostGrant { epoch: next.epoch, ceilings: added.clone() },
            (None, Some((epoch, _))) => with_added_credit(ledger, host, epoch.epoch, added),
            (None, None) => continue,
        };
        let page = place_grant(&mut all, ledger, host, grant, max_value_bytes);
        if let Some(page) = page.filter(|page| changed.contains_key(page) || changed.len() < max_pages) {
            changed.insert(page, all[&page].clone());
        }
    }
    changed
}

/// A controller's grant with credit added. Buckets without unspent credit are dropped from the
/// grant, because what was spent from them is known from the jobs' records.
fn with_added_credit(ledger: &Ledger, host: &str, epoch: u64, added: &BTreeMap<Bucket, u64>) -> HostGrant {
    let spent = ledger.spent_by(host);
    let amount_of =
        |amounts: &BTreeMap<Bucket, u64>, bucket: &Bucket| amounts.get(bucket).copied().unwrap_or(0);
    let mut ceilings = ledger.ceilings(host);
    ceilings.retain(|bucket, ceiling| *ceiling > amount_of(&spent, bucket));
    for (bucket, more) in added {
        let known = amount_of(&ceilings, bucket).max(amount_of(&spent, bucket));
        ceilings.insert(bucket.clone(), known + more);
    }
    HostGrant { epoch, ceilings }
}

/// Puts a grant on the page that already lists the controller, or else on the first page with enough
/// space. Returns the page's number, or `None` if the grant does not fit.
fn place_grant(
    all: &mut BTreeMap<u32, GrantPage>,
    ledger: &Ledger,
    host: &str,
    grant: HostGrant,
    max_value_bytes: usize,
) -> Option<u32> {
    let current = |host: &String, grant: &HostGrant| {
        ledger.epoch(host).is_some_and(|(record, _)| record.epoch == grant.epoch)
    };
    let own = all.iter().find(|(_, page)| page.hosts.contains_key(host)).map(|(number, _)| *number);
    let next = all.last_key_value().map_or(0, |(number, _)| number + 1);
    let candidates: Vec<u32> = match own {
        Some(own) => vec![own],
        None => all.keys().copied().chain([next]).collect(),
    };
    for number in candidates {
        let mut page = all.get(&number).cloned().unwrap_or_default();
        page.hosts.retain(|other, grant| other == host || current(other, grant));
        page.hosts.insert(host.to_string(), grant.clone());
        if max_stored_bytes(&page) <= max_value_bytes {
            all.insert(number, page);
            return Some(number);
        }
    }
    None
}
