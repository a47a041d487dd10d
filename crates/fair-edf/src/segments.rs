//! The busy segments [L, R] that held requests make when each starts as late as it can.

use crate::Ns;

/// Busy segments in order of time, apart from each other.
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

    /// Where the first segment starts.
    pub(crate) fn start(&self) -> Option<Ns> {
        self.0.first().map(|first| first.0)
    }

    /// Gives `due` its interval: between segments [due - sigma, due], merged with the segment
    /// before where they touch; inside a segment, its left end moves by sigma. Merges cascade.
    pub(crate) fn place(&mut self, due: Ns, sigma: Ns) {
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

    /// Takes off the request with the earliest deadline of all: no other one moves for it.
    pub(crate) fn release_first(&mut self, sigma: Ns) {
        let Some(first) = self.0.first_mut() else { return };
        first.0 += sigma;
        if first.0 >= first.1 {
            self.0.remove(0);
        }
    }
}
