//! What endpoints say of themselves in their responses.

mod backoff;
mod leaving;
mod series;
