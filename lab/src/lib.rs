//! What a courier serves, emulated on loopback: clients and their front, endpoints, discovery and the platform,
//! the agent that starts and ends it, and the links between them. Faults come on a timeline; an auditor reads
//! what the world saw and judges it by the rules. Nothing here knows the courier's code: it is the other side
//! of the protocol.

pub mod audit;
pub mod draw;
pub mod event;
pub mod experiment;
pub mod report;
pub mod run;
pub mod summary;
pub mod world;
