//! Placement: which endpoint holds which model and adapter. Pure: no input or output.
