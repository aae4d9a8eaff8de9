//! Numbers of accounts.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The number that stands for an account in the decision module and on counters: SipHash-1-3 of the tenant's name and
/// the account's name, each with its length before it, so that no two differ only in where one ends. The epoch is part
/// of the key: a tenant that is created again under the same name inherits nothing.
///
/// With `n` accounts in a pool, the chance that any two of them share a number is below `n^2 / 2^65`: for a million
/// accounts (10,000 tenants of 100) it is 3 in 100 million. Two that do share a quota, and nothing else.
pub fn account_number(tenant: &str, epoch: u64, account: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(3, epoch);
    for text in [tenant, account] {
        hasher.write_u64(text.len() as u64);
        hasher.write(text.as_bytes());
    }
    hasher.finish()
}
