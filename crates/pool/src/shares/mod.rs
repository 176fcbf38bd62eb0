//! Shares of organisations in the room of a service, over all entries.
//!
//! Entries report the arrivals of organisations to one side, which decides the level up to which each
//! organisation's requests are within its share: max-min fair over the capacity of the service. An entry
//! counts requests beyond that as over the share. They run only where a slot is free, so that they do not
//! delay requests within a share, and no capacity lies idle.

mod account;
mod divider;
mod level;

pub use self::{
    account::{ShareAccount, ShareChange},
    divider::ShareDivider,
    level::water_level,
};
