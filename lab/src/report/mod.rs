//! What people see of a run: plots, a page, the story of one message, two programs side by side.

pub mod compare;
pub mod found;
pub mod page;
pub mod plot;
pub mod story;
pub mod sweep;
