//! Membership: who is live, and whom each process monitors (rendezvous hashing).
