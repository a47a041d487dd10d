//! lanegate: router, agent and controller in one program.

fn main() {}
