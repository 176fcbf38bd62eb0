//! Keys, interned names, time and hashing.
//!
//! The decision crates share these small `Copy` types without depending on anything that does I/O.
//! Nothing in this crate reads a clock or a random source.

mod event_stream;
mod hash;
mod maps;
mod names;
mod table;
mod time;

pub use crate::{
    event_stream::EventTracker,
    hash::{hash_bytes, rendezvous_order, rendezvous_score, zone_first},
    maps::{FixedState, Map, Set},
    names::{Interner, Key},
    table::{Check, Outcome, Row, Txn, Write},
    time::Millis,
};

/// Declares an index newtype that identifies one entity of an arena.
#[macro_export]
macro_rules! entity_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);

        impl $crate::Key for $name {
            fn from_index(index: usize) -> Self {
                $name(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

entity_key! {
    /// Identifies one model or adapter.
    ModelKey
}
entity_key! {
    /// Identifies one endpoint.
    EndpointKey
}
entity_key! {
    /// Identifies one organisation.
    OrgKey
}
entity_key! {
    /// Identifies one service of an organisation.
    ServiceKey
}
