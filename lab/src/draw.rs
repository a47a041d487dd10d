//! The world of a run, drawn ahead from the seed: destinations, endpoints, arrivals and the timeline. What a
//! courier does changes nothing in it, and its digest is the same on every machine.

use crate::event::{ClassTerms, Effect, EndpointTerms, Terms};
use crate::experiment::{Act, EffectName, Experiment, Pick};
use anyhow::{Result, anyhow};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, weighted::WeightedIndex};
use serde::Serialize;
use sha2::{Digest, Sha256};

#[derive(Clone, Debug, Serialize)]
pub struct Destination {
    pub share: f64,
    pub tenant: usize,
    /// Microseconds.
    pub service: u64,
    /// Calls a second, where there is a limit.
    pub limit: Option<f64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    pub host: String,
    pub destination: usize,
    pub zone: usize,
}

/// One message, as its client first hands it in. Times are in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    pub at: u64,
    pub class: usize,
    pub destination: usize,
    pub body: usize,
    /// Seeds all that is drawn for it later.
    pub luck: u64,
}

/// A step of the timeline with what it picks. One that is spread out is several.
#[derive(Clone, Debug, Serialize)]
pub struct Move {
    pub at: u64,
    pub act: Act,
    pub couriers: Vec<usize>,
    pub endpoints: Vec<usize>,
    pub lasts: Option<u64>,
    pub by: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct World {
    pub seed: u64,
    pub destinations: Vec<Destination>,
    pub endpoints: Vec<Endpoint>,
    /// The zone of each courier.
    pub zones: Vec<usize>,
    pub arrivals: Vec<Arrival>,
    pub moves: Vec<Move>,
    /// When improper peers come, and their luck.
    pub rude: Vec<(u64, u64)>,
}

pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// A generator for one purpose, so that one more draw for another changes nothing here.
pub fn generator(seed: u64, purpose: &str) -> ChaCha8Rng {
    let mut hash = Sha256::new();
    hash.update(seed.to_le_bytes());
    hash.update(purpose);
    ChaCha8Rng::from_seed(hash.finalize().into())
}

/// Within a range, evenly.
pub fn between(rng: &mut impl Rng, [from, to]: [f64; 2]) -> f64 {
    from + (to - from) * rng.random::<f64>()
}

impl World {
    pub fn draw(experiment: &Experiment, seed: u64) -> Result<Self> {
        let destinations = destinations(experiment, seed)?;
        let endpoints = endpoints(experiment, &destinations, seed);
        let arrivals = arrivals(experiment, &destinations, seed)?;
        let moves = moves(experiment, &endpoints, seed)?;
        let zones = courier_zones(experiment);
        let mut rng = generator(seed, "rude");
        let rude = poisson(&mut rng, experiment.clients.rude, experiment.seconds)?;
        let rude = rude.into_iter().map(|at| (at, rng.next_u64())).collect();
        Ok(World { seed, destinations, endpoints, zones, arrivals, moves, rude })
    }

    /// Over all that was drawn.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).expect("numbers and names");
        Sha256::digest(text)[..8].iter().map(|b| format!("{b:02x}")).collect()
    }

    pub fn terms(&self, e: &Experiment) -> Terms {
        let class = |c: &crate::experiment::Class| ClassTerms {
            name: c.name.clone(),
            aim: c.aim,
            deadline: c.deadline,
            worth: c.worth,
            late_share: c.late_share,
            effect: match c.effect {
                EffectName::Repeatable => Effect::Repeatable,
                EffectName::ByKey => Effect::ByKey { ttl: c.key_ttl, scope: c.key_scope },
                EffectName::Once => Effect::Once,
            },
        };
        let endpoint = |p: &Endpoint| EndpointTerms {
            host: p.host.clone(),
            destination: p.destination,
            zone: e.zones[p.zone].clone(),
        };
        Terms {
            classes: e.class.iter().map(class).collect(),
            attempts_most: ATTEMPTS_MOST,
            drain_grace: DRAIN_GRACE,
            fall_span: e.destinations.fall,
            sockets: e.couriers.sockets,
            memory_mb: e.couriers.memory_mb,
            disk_mb: e.couriers.disk_mb,
            endpoints: self.endpoints.iter().map(endpoint).collect(),
        }
    }
}

/// The operators' figures.
pub const ATTEMPTS_MOST: usize = 8;
pub const DRAIN_GRACE: f64 = 1.0;

fn weighted(what: &str, shares: impl Iterator<Item = f64>) -> Result<WeightedIndex<f64>> {
    WeightedIndex::new(shares).map_err(|e| anyhow!("{what}: the shares cannot be drawn from: {e}"))
}

fn destinations(e: &Experiment, seed: u64) -> Result<Vec<Destination>> {
    let mut rng = generator(seed, "destinations");
    let there = &e.destinations;
    // By libm, not by the machine's own library: the same everywhere.
    let weights: Vec<f64> = (0..there.count).map(|n| libm::pow(1.0 / (n + 1) as f64, there.zipf)).collect();
    let sum: f64 = weights.iter().sum();
    let tenants = weighted("tenant", e.tenant.iter().map(|t| t.share))?;
    let destination = |weight: &f64| {
        let share = weight / sum;
        let service = micros(between(&mut rng, there.service_ms) / 1000.0);
        let limited = rng.random::<f64>() < there.limited;
        let limit = limited.then(|| (share * e.load.rate * there.headroom).max(there.limit_least));
        Destination { share, tenant: tenants.sample(&mut rng), service, limit }
    };
    Ok(weights.iter().map(destination).collect())
}

/// One for each destination, and the others where the traffic for each is most.
fn endpoints(e: &Experiment, destinations: &[Destination], seed: u64) -> Vec<Endpoint> {
    let mut counts = vec![1usize; destinations.len()];
    let load = |d: usize, count: usize| destinations[d].share * destinations[d].service as f64 / count as f64;
    for _ in destinations.len()..e.destinations.endpoints {
        let busiest = (0..counts.len()).max_by(|a, b| load(*a, counts[*a]).total_cmp(&load(*b, counts[*b])));
        counts[busiest.unwrap_or(0)] += 1;
    }
    let from = generator(seed, "zones").random_range(0..e.zones.len());
    let of = counts.iter().enumerate().flat_map(|(d, count)| std::iter::repeat_n(d, *count));
    let endpoint =
        |(n, destination)| Endpoint { host: format!("s{n}"), destination, zone: (from + n) % e.zones.len() };
    of.enumerate().map(endpoint).collect()
}

fn poisson(rng: &mut ChaCha8Rng, rate: f64, seconds: f64) -> Result<Vec<u64>> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return Ok(times);
    }
    let gap = Exp::new(rate).map_err(|e| anyhow!("a rate of {rate}: {e}"))?;
    let mut at = 0.0;
    loop {
        at += gap.sample(rng);
        if at >= seconds {
            return Ok(times);
        }
        times.push(micros(at));
    }
}

fn arrivals(e: &Experiment, destinations: &[Destination], seed: u64) -> Result<Vec<Arrival>> {
    let mut rng = generator(seed, "arrivals");
    let load = &e.load;
    let classes = weighted("class", e.class.iter().map(|c| c.share))?;
    let places = weighted("destinations", destinations.iter().map(|d| d.share))?;
    let message = |rng: &mut ChaCha8Rng, at, destination| Arrival {
        at,
        class: classes.sample(rng),
        destination,
        body: rng.random_range(load.body[0]..=load.body[1]),
        luck: rng.next_u64(),
    };
    let mut all = Vec::new();
    // Thinned from the crest of the wave.
    let single = load.rate * (1.0 - load.clumps);
    for at in poisson(&mut rng, single * (1.0 + load.wave), e.seconds)? {
        let phase = at as f64 / 1e6 / load.period * std::f64::consts::TAU;
        let now = 1.0 + load.wave * libm::sin(phase);
        if rng.random::<f64>() * (1.0 + load.wave) <= now {
            let place = places.sample(&mut rng);
            all.push(message(&mut rng, at, place));
        }
    }
    let clump = load.clump.max(1);
    for at in poisson(&mut rng, load.rate * load.clumps / clump as f64, e.seconds)? {
        let place = places.sample(&mut rng);
        all.extend((0..clump).map(|_| message(&mut rng, at, place)));
    }
    all.sort_by_key(|a| (a.at, a.luck));
    Ok(all)
}

/// So many of them, drawn; in the order of their numbers.
fn some(rng: &mut ChaCha8Rng, of: Vec<usize>, share: f64) -> Vec<usize> {
    let count = (of.len() as f64 * share).round() as usize;
    let mut picked: Vec<_> = rand::seq::index::sample(rng, of.len(), count.min(of.len())).into_vec();
    picked.sort_unstable();
    picked.into_iter().map(|n| of[n]).collect()
}

/// The zone of each courier.
fn courier_zones(e: &Experiment) -> Vec<usize> {
    (0..e.couriers.count).map(|n| n % e.zones.len()).collect()
}

fn moves(e: &Experiment, endpoints: &[Endpoint], seed: u64) -> Result<Vec<Move>> {
    let mut moves = Vec::new();
    for (n, step) in e.at.iter().enumerate() {
        let step = step.get_ref();
        let mut rng = generator(seed, &format!("step {n}"));
        let mut pick = |text: &Option<String>, letter: &str, zones: &[usize], of: &dyn Fn(usize) -> usize| {
            let all = 0..zones.len();
            let picked = match e.pick(text.as_deref().unwrap_or("all"), letter, zones.len())? {
                Pick::These(these) => these,
                Pick::Share(share) => some(&mut rng, all.collect(), share),
                Pick::Zones(picked) => all.filter(|n| picked.contains(&zones[*n])).collect(),
                Pick::Destination(d) => all.filter(|n| of(*n) == d).collect(),
            };
            anyhow::Ok(picked)
        };
        let of_endpoints: Vec<_> = endpoints.iter().map(|p| p.zone).collect();
        let couriers = pick(&step.couriers, "n", &courier_zones(e), &|_| usize::MAX)?;
        let chosen = pick(&step.endpoints, "s", &of_endpoints, &|n| endpoints[n].destination)?;
        let single = Move {
            at: micros(step.t),
            act: step.act,
            couriers,
            endpoints: chosen,
            lasts: step.lasts.map(micros),
            by: step.by.unwrap_or(1.0),
        };
        match (step.over, step.times) {
            (None, _) => moves.push(single),
            (Some(over), Some(times)) => {
                let mut drawn = |_| {
                    let courier = single.couriers[rng.random_range(0..single.couriers.len())];
                    let at = single.at + micros(over * rng.random::<f64>());
                    Move { at, couriers: vec![courier], ..single.clone() }
                };
                if !single.couriers.is_empty() {
                    moves.extend((0..times).map(&mut drawn));
                }
            }
            (Some(over), None) => {
                let count = single.couriers.len();
                moves.extend(single.couriers.iter().enumerate().map(|(n, courier)| Move {
                    at: single.at + micros(over * n as f64 / count as f64),
                    couriers: vec![*courier],
                    ..single.clone()
                }));
            }
        }
    }
    moves.sort_by_key(|m| m.at);
    Ok(moves)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment(set: &[&str]) -> Experiment {
        let text = "name = 'x'\nabout = 'y'\nseconds = 20\nzones = ['a', 'b']\n[load]\nrate = 100\nclumps = 0.1\n\
            wave = 0.3\n[couriers]\ncount = 10\n[[at]]\nt = 2\ndo = 'kill'\ncouriers = '70%'\nover = 1\n";
        let set: Vec<_> = set.iter().map(|s| (*s).to_owned()).collect();
        Experiment::parse(text, &set).expect("it is sound")
    }

    #[test]
    fn the_same_seed_draws_the_same_world_everywhere() {
        let world = |seed| World::draw(&experiment(&[]), seed).expect("a world");
        assert_eq!(world(3).digest(), world(3).digest());
        assert_ne!(world(3).digest(), world(4).digest());
        // Holds on every machine: it was written down on another one.
        assert_eq!(world(3).digest(), "3c61a677f92ddd89");
    }

    #[test]
    fn what_is_drawn_for_one_purpose_does_not_move_the_others() {
        let plain = World::draw(&experiment(&[]), 3).expect("a world");
        let rude = World::draw(&experiment(&["clients.rude=5"]), 3).expect("a world");
        assert!(!rude.rude.is_empty() && plain.rude.is_empty());
        let at = |w: &World| w.arrivals.iter().map(|a| (a.at, a.luck)).collect::<Vec<_>>();
        assert_eq!(at(&plain), at(&rude));
    }

    #[test]
    fn the_load_and_the_picks_are_as_asked_for() {
        let world = World::draw(&experiment(&[]), 5).expect("a world");
        let rate = world.arrivals.len() as f64 / 20.0;
        assert!((80.0..120.0).contains(&rate), "{rate}");
        assert!(world.arrivals.is_sorted_by_key(|a| a.at));
        let killed: Vec<_> = world.moves.iter().flat_map(|m| m.couriers.clone()).collect();
        assert_eq!((world.moves.len(), killed.len()), (7, 7));
        assert!(world.moves[6].at > micros(2.8) && world.moves[6].at < micros(3.0));
        let mut named: Vec<_> = world.endpoints.iter().map(|p| p.destination).collect();
        named.dedup();
        assert_eq!(named, (0..8).collect::<Vec<_>>(), "each destination has one at least");
    }
}
