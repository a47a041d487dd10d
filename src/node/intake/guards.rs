//! Counts that a request holds up while it is under way, given back when it is dropped at whatever step.

use super::state::IntakeState;

/// Counts a submission that the courier has not replied to.
pub(super) struct PendingSubmission<'a>(&'a IntakeState);

impl<'a> PendingSubmission<'a> {
    pub(super) fn new(intake_state: &'a IntakeState) -> Self {
        intake_state.pending_submissions.set(intake_state.pending_submissions.get() + 1);
        PendingSubmission(intake_state)
    }
}

impl Drop for PendingSubmission<'_> {
    fn drop(&mut self) {
        self.0.pending_submissions.set(self.0.pending_submissions.get() - 1);
    }
}

/// Memory for one body.
pub(super) struct BodyReservation<'a> {
    intake_state: &'a IntakeState,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// None if all bodies together would take more than `most` bytes.
    pub(super) fn take(intake_state: &'a IntakeState, bytes: usize, most: usize) -> Option<Self> {
        let after = intake_state.bodies.get() + bytes;
        (after <= most).then(|| {
            intake_state.bodies.set(after);
            BodyReservation { intake_state, bytes }
        })
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.intake_state.bodies.set(self.intake_state.bodies.get() - self.bytes);
    }
}
