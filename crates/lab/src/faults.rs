//! Faults of a world.

/// Faults in force. Parts are probabilities from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The table answers nothing.
    pub table_down: bool,
    /// Extra time of each hop to the table, in milliseconds.
    pub table_ms: u64,
    /// Transactions that take effect without a confirmation.
    pub lost_part: f64,
    /// Transactions given to a table that is down that take effect later.
    pub late_part: f64,
    /// Messages that are lost.
    pub drop_part: f64,
    /// Messages that come twice.
    pub twice_part: f64,
    /// Messages and orders that are slow.
    pub slow_part: f64,
    /// How slow at most, in milliseconds.
    pub slow_ms: u64,
    /// Loads that fail at their end.
    pub load_fails: f64,
    /// Factor by which the weight store is slowed down.
    pub weights_slow: u64,
}
