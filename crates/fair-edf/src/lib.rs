//! Fair-EDF occupancy charts, shared by the courier and the router.
