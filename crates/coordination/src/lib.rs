//! Coordination parts that other programs can embed. None of them does input or output: time, chance,
//! messages and what the disk holds are passed in, what is to be sent or written is handed back.

pub mod feed;
pub mod lease;
pub mod membership;
pub mod register;
pub mod registry;
pub mod simulation;
pub mod storage;
