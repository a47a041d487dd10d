//! The decisions of a router, without I/O: which endpoint a request goes to, when it leaves, when it is
//! tried again and when it is refused. Time and chance are passed in.

pub mod dispatcher;
pub mod endpoints;
pub mod interface;
pub mod settings;

pub use dispatcher::Dispatcher;
pub use settings::DispatchSettings;
