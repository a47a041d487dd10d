//! The failure domains (zones and regions) of the controllers, and how well a replica group is spread over them.
//!
//! A group of `n` members keeps its majority while at most `(n - 1) / 2` of them are lost. So a group that has to survive
//! the loss of `k` zones must not have more members than that in any `k` zones together. The number of members alone does
//! not ensure this: three members of which two share a zone lose their majority, and with the disks the only copies of
//! what was acknowledged, together with that zone.
//!
//! Each controller names its own zone and region to its peers when a link comes up. A peer of a release that does not
//! name them is counted with all others of unknown location as one domain.

use lanegate_config::settings::{FaultTolerance, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Prefix of the word that names the zone of the sender in a list of controllers.
const ZONE_PREFIX: &str = "zone=";
/// Prefix of the word that names the region of the sender in a list of controllers.
const REGION_PREFIX: &str = "region=";

/// Zone and region of a controller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Location {
    zone: String,
    region: String,
}

impl Location {
    /// A location. White space within the names is replaced, because it separates words on the wire.
    pub(crate) fn new(zone: &str, region: &str) -> Self {
        let word = |name: &str| name.replace(char::is_whitespace, "_");
        Location { zone: word(zone), region: word(region) }
    }

    /// The location that the settings of a process name. A region that is not set is that of the zone.
    pub(crate) fn of(settings: &Settings) -> Self {
        let of_zone = || settings.zones.get(&settings.zone).map_or("", String::as_str);
        let region = if settings.region.is_empty() { of_zone() } else { &settings.region };
        Location::new(&settings.zone, region)
    }

    /// The words that name this location in a list of controllers.
    pub(crate) fn to_words(&self) -> String {
        format!("{ZONE_PREFIX}{} {REGION_PREFIX}{}", self.zone, self.region)
    }

    /// The location that a list of controllers names, if it names one.
    pub(crate) fn from_words(text: &str) -> Option<Self> {
        let find = |prefix: &str| text.split_whitespace().find_map(|word| word.strip_prefix(prefix));
        Some(Location::new(find(ZONE_PREFIX)?, find(REGION_PREFIX).unwrap_or_default()))
    }
}

/// How far a group is from surviving the required losses; less is better. Regions come first, as a region contains whole
/// zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Imbalance {
    /// Members beyond the number that the group can lose together with the regions that hold most of them.
    excess_in_regions: usize,
    /// The same for zones.
    excess_in_zones: usize,
    /// Sum of the squares of the numbers of members in each region: falls with each step towards an even spread, also
    /// with one that does not change the excess yet.
    region_squares: usize,
    /// The same for zones.
    zone_squares: usize,
}

impl Imbalance {
    /// Whether the group survives the required losses.
    pub(crate) fn is_tolerated(&self) -> bool {
        self.excess_in_regions == 0 && self.excess_in_zones == 0
    }
}

/// The locations of the controllers, and the number of failure domains whose loss every group has to survive.
#[derive(Debug, Default)]
pub(crate) struct FailureDomains {
    zones: usize,
    regions: usize,
    locations: BTreeMap<SocketAddr, Location>,
}

impl FailureDomains {
    /// No locations yet.
    pub(crate) fn new(tolerance: &FaultTolerance) -> Self {
        FailureDomains {
            zones: tolerance.zones as usize,
            regions: tolerance.regions as usize,
            locations: BTreeMap::new(),
        }
    }

    /// Whether groups have to survive the loss of a zone or a region. Locations matter only then.
    pub(crate) fn are_required(&self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    /// Number of zones whose loss a group has to survive.
    pub(crate) fn required_zones(&self) -> usize {
        self.zones
    }

    /// Number of regions whose loss a group has to survive.
    pub(crate) fn required_regions(&self) -> usize {
        self.regions
    }

    /// Records the location of the controller at `node`. Returns whether it has changed.
    pub(crate) fn record(&mut self, node: SocketAddr, location: Location) -> bool {
        self.locations.insert(node, location.clone()) != Some(location)
    }

    /// Whether the locations of all `members` are known.
    pub(crate) fn are_known(&self, members: &[SocketAddr]) -> bool {
        members.iter().all(|member| self.locations.contains_key(member))
    }

    /// The zone of a controller; `None` if its location is not known.
    pub(crate) fn zone(&self, node: SocketAddr) -> Option<&Location> {
        self.locations.get(&node)
    }

    /// The region of a controller; `None` if its location is not known.
    pub(crate) fn region(&self, node: SocketAddr) -> Option<&str> {
        self.locations.get(&node).map(|location| location.region.as_str())
    }

    /// How far a group with these members is from surviving the required losses.
    pub(crate) fn imbalance(&self, members: &[SocketAddr]) -> Imbalance {
        let mut imbalance = Imbalance::default();
        if self.regions > 0 {
            let counts = count_by(members, |member| self.region(member));
            imbalance.excess_in_regions = excess(&counts, members.len(), self.regions);
            imbalance.region_squares = sum_of_squares(&counts);
        }
        if self.zones > 0 {
            let counts = count_by(members, |member| self.zone(member));
            imbalance.excess_in_zones = excess(&counts, members.len(), self.zones);
            imbalance.zone_squares = sum_of_squares(&counts);
        }
        imbalance
    }
}

/// Number of members in each domain, highest first.
fn count_by<D: Ord>(members: &[SocketAddr], domain: impl Fn(SocketAddr) -> D) -> Vec<usize> {
    let mut by_domain = BTreeMap::<D, usize>::new();
    for member in members {
        *by_domain.entry(domain(*member)).or_default() += 1;
    }
    let mut counts: Vec<usize> = by_domain.into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    counts
}

/// Members in the `lost` fullest domains beyond those that a group of `size` members can lose.
fn excess(counts: &[usize], size: usize, lost: usize) -> usize {
    let in_lost_domains: usize = counts.iter().take(lost).sum();
    in_lost_domains.saturating_sub(size.saturating_sub(1) / 2)
}

fn sum_of_squares(counts: &[usize]) -> usize {
    counts.iter().map(|count| count * count).sum()
}
