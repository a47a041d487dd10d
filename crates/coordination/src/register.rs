//! Replicated registers: agreement on one value by a group of replicas.
