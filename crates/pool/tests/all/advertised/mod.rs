//! What endpoints say of themselves in their responses.

mod leaving;
mod series;
