//! The busy segments [L, R] of the schedule in which each queued request starts as late as possible.

use crate::Ns;

/// Disjoint busy segments, in order of time.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub(crate) struct Segments(Vec<(Ns, Ns)>);

impl Segments {
    pub(crate) fn as_slice(&self) -> &[(Ns, Ns)] {
        &self.0
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Start of the first segment.
    pub(crate) fn start(&self) -> Option<Ns> {
        self.0.first().map(|first| first.0)
    }

    /// Adds a slot of length `sigma` that ends at `due`. Between segments it is [due - sigma, due]; inside a segment the left
    /// end of that segment moves by `sigma`. Segments that touch are merged.
    pub(crate) fn insert(&mut self, due: Ns, sigma: Ns) {
        let mut at = self.0.partition_point(|segment| segment.1 < due);
        match self.0.get_mut(at) {
            Some(segment) if segment.0 <= due => segment.0 -= sigma,
            _ => self.0.insert(at, (due - sigma, due)),
        }
        while at > 0 && self.0[at - 1].1 >= self.0[at].0 {
            let (left, right) = self.0.remove(at);
            at -= 1;
            let before = &mut self.0[at];
            *before = (before.0 - (before.1 - left), right);
        }
    }

    /// Removes the slot of the request with the earliest due time. No other slot moves.
    pub(crate) fn remove_first(&mut self, sigma: Ns) {
        let Some(first) = self.0.first_mut() else { return };
        first.0 += sigma;
        if first.0 >= first.1 {
            self.0.remove(0);
        }
    }
}
