//! The control plane process, and the agent that keeps a router fed.
