//! Injected faults of a simulation.

/// Active faults. Values of type `f64` are probabilities from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Whether the table is unavailable.
    pub table_down: bool,
    /// Extra delay of each message to and from the table, in milliseconds.
    pub table_delay_ms: u64,
    /// Transactions that take effect but whose confirmation is lost.
    pub lost_confirmations: f64,
    /// Transactions sent to an unavailable table that take effect later.
    pub late_commits: f64,
    /// Lost messages.
    pub dropped_messages: f64,
    /// Messages delivered twice.
    pub duplicated_messages: f64,
    /// Delayed messages and orders.
    pub delayed_messages: f64,
    /// Maximum delay of a delayed message, in milliseconds.
    pub max_delay_ms: u64,
    /// Loads that fail at the end of their load time.
    pub failed_loads: f64,
    /// Slowdown factor of the weight store.
    pub store_slowdown: u64,
}
