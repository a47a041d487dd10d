//! Versioned files: written aside, synced, renamed.
