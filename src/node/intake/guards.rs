//! Counts that a request holds up while it is under way, given back when it is dropped at whatever step.

use super::standing::Standing;

/// An offer that the courier has not answered.
pub(super) struct PendingOffer<'a>(&'a Standing);

impl<'a> PendingOffer<'a> {
    pub(super) fn new(standing: &'a Standing) -> Self {
        standing.pending_offers.set(standing.pending_offers.get() + 1);
        PendingOffer(standing)
    }
}

impl Drop for PendingOffer<'_> {
    fn drop(&mut self) {
        self.0.pending_offers.set(self.0.pending_offers.get() - 1);
    }
}

/// Memory for one body.
pub(super) struct BodyReservation<'a> {
    standing: &'a Standing,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// None if all bodies together would take more than `most` bytes.
    pub(super) fn take(standing: &'a Standing, bytes: usize, most: usize) -> Option<Self> {
        let after = standing.bodies.get() + bytes;
        (after <= most).then(|| {
            standing.bodies.set(after);
            BodyReservation { standing, bytes }
        })
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.standing.bodies.set(self.standing.bodies.get() - self.bytes);
    }
}
