//! Injectable faults of the platform.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Active faults.
#[derive(Debug, Default)]
pub struct Faults {
    unavailable: AtomicBool,
    confirmations_to_lose: AtomicU64,
    delay_ms: AtomicU64,
}

impl Faults {
    /// Sets whether the table and the object store answer every call with an error.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.store(unavailable, Ordering::Release);
    }

    /// Loses the confirmations of the next `count` transactions, which still take effect.
    pub fn lose_confirmations(&self, count: u64) {
        self.confirmations_to_lose.store(count, Ordering::Release);
    }

    /// Sets the delay of each answer of the table, in milliseconds.
    pub fn set_delay(&self, millis: u64) {
        self.delay_ms.store(millis, Ordering::Release);
    }

    pub(crate) fn unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Acquire)
    }

    pub(crate) fn delay(&self) -> u64 {
        self.delay_ms.load(Ordering::Acquire)
    }

    /// Returns whether to lose a confirmation, and counts it as lost.
    pub(crate) fn take_lost_confirmation(&self) -> bool {
        let decrement = |count: u64| count.checked_sub(1);
        self.confirmations_to_lose
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement)
            .is_ok()
    }
}
