//! An experiment as it is written: a TOML file with the world, the load, a timeline of faults and what must hold.

pub use crate::event::Scope;
use anyhow::{Context, Result, anyhow, bail};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use toml::Spanned;

/// Times are in seconds throughout, rates in messages a second.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// What it is for.
    pub about: String,
    /// How long messages come.
    pub seconds: f64,
    /// How long it goes on after the last at most; it ends sooner once nothing is owed any more.
    #[serde(default = "settle")]
    pub settle: f64,
    #[serde(default)]
    pub couriers: Couriers,
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Zones by region, for picks; a zone in none is in no region.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    #[serde(default = "classes")]
    pub class: Vec<Class>,
    #[serde(default = "tenants")]
    pub tenant: Vec<Tenant>,
    #[serde(default)]
    pub destinations: Destinations,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub at: Vec<Spanned<Step>>,
    #[serde(default)]
    pub expect: Expect,
}

fn settle() -> f64 {
    25.0
}

fn zones() -> Vec<String> {
    vec!["a".to_owned()]
}

/// The classes and tenants that the operators' brief tells of.
fn classes() -> Vec<Class> {
    let order = Class {
        name: "licence-orders".to_owned(),
        share: 0.63,
        aim: 3.0,
        deadline: 20.0,
        worth: 1.0,
        late_share: 0.3,
        effect: EffectName::ByKey,
        key_ttl: 8.0,
        key_scope: Scope::All,
    };
    let notice = Class {
        name: "update-notices".to_owned(),
        share: 0.37,
        aim: 0.8,
        deadline: 5.0,
        worth: 2.0,
        late_share: 0.0,
        effect: EffectName::Repeatable,
        key_ttl: 0.0,
        key_scope: Scope::All,
    };
    vec![order, notice]
}

fn tenants() -> Vec<Tenant> {
    let named = [
        ("namib-marine", 0.40),
        ("benguela-charts", 0.29),
        ("kunene-nav", 0.19),
        ("luderitz-survey", 0.06),
        ("orange-river-maps", 0.06),
    ];
    named.map(|(name, share)| Tenant { name: name.to_owned(), share }).into()
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Couriers {
    pub count: usize,
    /// Calls out at once, and messages held, at each.
    pub slots: usize,
    pub held: usize,
    pub sockets: u64,
    pub memory_mb: f64,
    pub disk_mb: f64,
    /// Part of a core that a courier's processes get together, in spans of 20 ms.
    pub cores: f64,
    /// Have an operators' address.
    pub operators: bool,
    /// Inherit the clients' listening socket, so that a process can be replaced.
    pub shared_socket: bool,
    /// What the operators' own file says; without it there is none.
    pub options: Option<toml::Table>,
}

impl Default for Couriers {
    fn default() -> Self {
        Couriers {
            count: 1,
            slots: 24,
            held: 400,
            sockets: 512,
            memory_mb: 192.0,
            disk_mb: 3.0,
            cores: 1.0,
            operators: true,
            shared_socket: false,
            options: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectName {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Of the messages.
    pub share: f64,
    pub aim: f64,
    pub deadline: f64,
    pub worth: f64,
    #[serde(default)]
    pub late_share: f64,
    pub effect: EffectName,
    #[serde(default)]
    pub key_ttl: f64,
    #[serde(default)]
    pub key_scope: Scope,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Destinations {
    pub count: usize,
    /// Of all destinations together; busier ones have more.
    pub endpoints: usize,
    /// Exponent of the shares of traffic: 0 is even.
    pub zipf: f64,
    /// The median service time of a destination is drawn between these.
    pub service_ms: [f64; 2],
    /// Of the logarithm of service times.
    pub spread: f64,
    /// At each endpoint: calls served at once, calls that wait, connections.
    pub concurrency: usize,
    pub queue: usize,
    pub connections: usize,
    /// What a new connection's first request costs in time.
    pub handshake_ms: f64,
    /// Share of the destinations that have a limit, and how many times their mean load it is.
    pub limited: f64,
    pub headroom: f64,
    /// Calls a second that a limit is at least.
    pub limit_least: f64,
    /// Share of the refusals above a limit that tell a wait, and how long.
    pub told: f64,
    pub wait: [f64; 2],
    /// Refused calls use the limit up too.
    pub refused_count: bool,
    /// A share of its capacity with which an endpoint comes back cold, and when it is warm.
    pub cold_from: f64,
    pub cold: f64,
    /// Sent more than this multiple of what it can do, for so long, a cold one falls over for a time.
    pub fall_multiple: f64,
    pub fall: f64,
    pub fallen: f64,
}

impl Default for Destinations {
    fn default() -> Self {
        Destinations {
            count: 8,
            endpoints: 16,
            zipf: 0.8,
            service_ms: [30.0, 90.0],
            spread: 0.3,
            concurrency: 8,
            queue: 16,
            connections: 48,
            handshake_ms: 2.0,
            limited: 0.5,
            headroom: 1.6,
            limit_least: 4.0,
            told: 0.6,
            wait: [0.4, 0.9],
            refused_count: true,
            cold_from: 0.22,
            cold: 10.0,
            fall_multiple: 2.0,
            fall: 2.0,
            fallen: 4.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub rate: f64,
    /// Share of the messages that come in clumps for one destination, and how many at once.
    #[serde(default)]
    pub clumps: f64,
    #[serde(default = "clump")]
    pub clump: usize,
    /// Traffic rises and falls by this share of it, once in a period.
    #[serde(default)]
    pub wave: f64,
    #[serde(default = "period")]
    pub period: f64,
    /// Bytes of a body, from and to.
    #[serde(default = "body")]
    pub body: [usize; 2],
}

fn clump() -> usize {
    8
}

fn period() -> f64 {
    10.0
}

fn body() -> [usize; 2] {
    [100, 600]
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How long one waits for its answer.
    pub patience: f64,
    /// How often a message is handed in again after a refusal, and after what time where none was told.
    pub again: u32,
    pub again_after: [f64; 2],
    /// After a courier that died or did not answer.
    pub lost_after: [f64; 2],
    /// The front goes on to a dead courier for so long.
    pub front_lag: [f64; 2],
    /// Improper peers a second, over all couriers.
    pub rude: f64,
    /// Share of the clients that write their request in two pieces, this far apart.
    pub slow: f64,
    pub slow_for: f64,
    /// Share of the clients that leave after a tenth of their patience.
    pub hasty: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            patience: 0.4,
            again: 2,
            again_after: [0.3, 0.8],
            lost_after: [0.58, 1.9],
            front_lag: [1.1, 3.3],
            rude: 0.0,
            slow: 0.0,
            slow_for: 0.1,
            hasty: 0.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How much later a courier is told of a change, drawn for each.
    pub delay: [f64; 2],
    /// Share of the calls for lists that are turned away.
    pub overbooked: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { delay: [0.1, 0.8], overbooked: 0.0 }
    }
}

/// One step of the timeline. `couriers` and `endpoints` pick: `all`, `30%` (drawn from the seed), names as in
/// `n0, n3` or `s2`, `zone:b`, `region:west`; for endpoints also `dest:4`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds since the first second of load.
    pub t: f64,
    #[serde(rename = "do")]
    pub act: Act,
    #[serde(default)]
    pub couriers: Option<String>,
    #[serde(default)]
    pub endpoints: Option<String>,
    /// How long it lasts; without it, to the end.
    #[serde(default)]
    pub lasts: Option<f64>,
    /// Its measure: a factor for `slow` and `limits`, a probability for `failing`, `resets`, `lost` and
    /// `spoilt`, seconds for `latency`, a share of the file for `truncate` and `flip`.
    #[serde(default)]
    pub by: Option<f64>,
    /// Steps that pick several are spread evenly over this time.
    #[serde(default)]
    pub over: Option<f64>,
    /// So many times, each at one of those picked, at moments drawn within `over`.
    #[serde(default)]
    pub times: Option<u32>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Couriers: SIGKILL, and a start 0.6 s later or after `lasts`.
    Kill,
    /// Couriers: SIGTERM, SIGKILL 3.7 s later, and a start 0.6 s after the end.
    Restart,
    /// Couriers: SIGSTOP, and SIGCONT after `lasts`.
    Pause,
    /// Couriers: a new configuration that moves discovery, and SIGHUP.
    Reload,
    /// Couriers: a second process takes the place of the first (`shared_socket`).
    Replace,
    /// Couriers: killed, and the folder that lasts is empty at the next start.
    LoseFolder,
    /// Couriers: killed, and the journal is cut to the share `by` before the next start.
    Truncate,
    /// Couriers: killed, and one bit of the journal at the share `by` is flipped before the next start.
    Flip,
    /// Couriers: killed, and 512 bytes of the journal at the share `by` are zeroed before the next start.
    Zero,
    /// Couriers: killed, and one file of the journal is gone at the next start.
    Vanish,
    /// Couriers: the folder that lasts cannot be written to.
    FolderFull,
    /// Endpoints: connections are refused; after `lasts` it comes back cold.
    Down,
    /// Endpoints: calls are taken and not answered.
    Hang,
    /// Endpoints: `by` times slower.
    Slow,
    /// Endpoints: 500, with probability `by`.
    Failing,
    /// Endpoints: the connection breaks after the last byte, with probability `by`.
    Resets,
    /// Endpoints: the message runs and the answer is lost, with probability `by`.
    Lost,
    /// Endpoints: what is answered cannot be read, with probability `by`.
    Spoilt,
    /// Endpoints: discovery tells that they drain; after `lasts` they are ready again.
    Drain,
    /// Endpoints: discovery tells that they drain, and 1.5 s later that they are gone.
    Remove,
    /// Endpoints: their destinations' limits times `by`.
    Limits,
    /// Endpoints: operators set them offline at all couriers; online again after `lasts`.
    Offline,
    /// Couriers: operators set them out of service; in service after `lasts`.
    OutOfService,
    /// Links between the couriers and the endpoints picked: nothing passes, nobody hears of it.
    Cut,
    /// Links: what the courier sends does not arrive.
    LoseThere,
    /// Links: what the endpoint sends does not arrive.
    LoseBack,
    /// Links: `by` seconds more each way.
    Latency,
    /// Links: open connections break.
    Break,
    /// Couriers: discovery falls silent.
    Silence,
    /// Couriers: calls for lists are turned away.
    Overbook,
}

impl Act {
    /// Whether `lasts` says when it is taken back; elsewhere it has a meaning of its own, or none.
    pub fn passes(self) -> bool {
        let once = matches!(self, Act::Kill | Act::Restart | Act::Pause | Act::Reload | Act::Replace);
        !once
            && !matches!(
                self,
                Act::LoseFolder
                    | Act::Truncate
                    | Act::Flip
                    | Act::Zero
                    | Act::Vanish
                    | Act::Remove
                    | Act::Break
            )
    }

    /// Whether it takes couriers, endpoints, and a measure.
    fn takes(self) -> (bool, bool, bool) {
        match self {
            Act::Kill | Act::Restart | Act::Pause | Act::Reload | Act::Replace => (true, false, false),
            Act::LoseFolder | Act::Vanish | Act::FolderFull | Act::OutOfService => (true, false, false),
            Act::Silence | Act::Overbook => (true, false, false),
            Act::Truncate | Act::Flip | Act::Zero => (true, false, true),
            Act::Down | Act::Hang | Act::Drain | Act::Remove | Act::Offline => (false, true, false),
            Act::Slow | Act::Failing | Act::Resets | Act::Lost | Act::Spoilt => (false, true, true),
            Act::Limits => (false, true, true),
            Act::Cut | Act::LoseThere | Act::LoseBack | Act::Break => (true, true, false),
            Act::Latency => (true, true, true),
        }
    }
}

/// What must hold beside the rules, which always must.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Of the worth asked for.
    pub worth_least: Option<f64>,
    /// Of the first hand-ins.
    pub refused_most: Option<f64>,
    /// Of the time from hand-in to delivery, at the 99th percentile, in milliseconds.
    pub p99_ms_most: Option<f64>,
    /// Rules that need not be kept, each with its reason in the file's `about`.
    pub may_break: Vec<String>,
}

impl Experiment {
    /// Reads a file, with keys set to other values; dots lead into tables. An error names file, line and key.
    pub fn read(path: &Path, set: &[String]) -> Result<Self> {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        Self::parse(&text, set).map_err(|e| anyhow!("{}: {e:#}", path.display()))
    }

    pub fn parse(text: &str, set: &[String]) -> Result<Self> {
        let mut text = text.to_owned();
        if !set.is_empty() {
            let mut table: toml::Table = text.parse()?;
            for pair in set {
                let (key, value) = pair.split_once('=').with_context(|| format!("--set {pair}: no `=`"))?;
                put(&mut table, key.trim(), value.trim()).with_context(|| format!("--set {pair}"))?;
            }
            text = toml::to_string(&table)?;
        }
        let experiment: Experiment = toml::from_str(&text)?;
        experiment.check(&text)?;
        Ok(experiment)
    }

    fn check(&self, text: &str) -> Result<()> {
        let positive = [
            ("seconds", self.seconds),
            ("load.rate", self.load.rate),
            ("load.period", self.load.period),
            ("clients.patience", self.clients.patience),
            ("destinations.service_ms", self.destinations.service_ms[0]),
            ("destinations.headroom", self.destinations.headroom),
            ("destinations.cold_from", self.destinations.cold_from),
        ];
        for (key, value) in positive {
            if !(value > 0.0 && value.is_finite()) {
                bail!("{key} = {value}: has to be above 0");
            }
        }
        let (load, clients, there) = (&self.load, &self.clients, &self.destinations);
        let shares = [
            ("load.clumps", load.clumps),
            ("load.wave", load.wave),
            ("clients.slow", clients.slow),
            ("clients.hasty", clients.hasty),
            ("destinations.limited", there.limited),
            ("destinations.told", there.told),
            ("discovery.overbooked", self.discovery.overbooked),
        ];
        for (key, value) in shares {
            if !(0.0..=1.0).contains(&value) {
                bail!("{key} = {value}: is a share, from 0 to 1");
            }
        }
        let ranges = [
            ("destinations.service_ms", there.service_ms),
            ("destinations.wait", there.wait),
            ("clients.again_after", clients.again_after),
            ("clients.lost_after", clients.lost_after),
            ("clients.front_lag", clients.front_lag),
            ("discovery.delay", self.discovery.delay),
        ];
        for (key, [from, to]) in ranges {
            if !(from >= 0.0 && from <= to && to.is_finite()) {
                bail!("{key} = [{from}, {to}]: has to run from a lower to a higher value");
            }
        }
        let counts = [
            ("couriers.count", self.couriers.count),
            ("couriers.slots", self.couriers.slots),
            ("couriers.held", self.couriers.held),
            ("destinations.count", there.count),
            ("destinations.concurrency", there.concurrency),
            ("zones", self.zones.len()),
            ("class", self.class.len()),
            ("tenant", self.tenant.len()),
        ];
        for (key, count) in counts {
            if count == 0 {
                bail!("{key}: there has to be one at least");
            }
        }
        if there.endpoints < there.count {
            bail!("destinations.endpoints = {}: fewer than the destinations", there.endpoints);
        }
        if load.body[0] > load.body[1] || load.body[1] > 64 * 1024 {
            bail!("load.body = {:?}: has to run from a lower to a higher size, of 65536 at most", load.body);
        }
        if !(0.01..=1.0).contains(&self.couriers.cores) {
            bail!("couriers.cores = {}: a part of a core, from 0.01 to 1", self.couriers.cores);
        }
        for rule in &self.expect.may_break {
            if !crate::audit::RULES.iter().any(|(name, _)| name == rule) {
                bail!("expect.may_break: there is no rule {rule:?}");
            }
        }
        for step in &self.at {
            let line = text[..step.span().start].matches('\n').count() + 1;
            self.check_step(step.get_ref()).with_context(|| format!("line {line}, [[at]]"))?;
        }
        Ok(())
    }

    fn check_step(&self, step: &Step) -> Result<()> {
        let (couriers, endpoints, measure) = step.act.takes();
        let takes = [
            ("couriers", couriers, step.couriers.is_some()),
            ("endpoints", endpoints, step.endpoints.is_some()),
            ("by", measure, step.by.is_some()),
        ];
        for (key, takes, given) in takes {
            if given && !takes {
                bail!("{key}: {:?} takes none", step.act);
            }
            if takes && !given && key == "by" {
                bail!("by: {:?} needs one", step.act);
            }
        }
        if !(step.t >= 0.0 && step.t.is_finite()) {
            bail!("t = {}: has to be 0 or more", step.t);
        }
        if step.times.is_some() && (!couriers || endpoints) {
            bail!("times: only for what couriers alone suffer");
        }
        if step.times.is_some() != step.times.and(step.over).is_some() {
            bail!("times: needs over, the time within which the moments are drawn");
        }
        if step.act == Act::Replace && !self.couriers.shared_socket {
            bail!("do = \"replace\": couriers.shared_socket has to be true");
        }
        if step.act == Act::Pause && step.lasts.is_none() {
            bail!("lasts: Pause needs one");
        }
        if step.act == Act::Pause && self.couriers.cores < 1.0 {
            bail!("do = \"pause\": couriers.cores has to be 1, as a part of a core is given by pauses too");
        }
        if matches!(step.act, Act::Offline | Act::OutOfService) && !self.couriers.operators {
            bail!("do: couriers.operators has to be true");
        }
        let picks = [
            ("couriers", &step.couriers, "n", self.couriers.count),
            ("endpoints", &step.endpoints, "s", self.destinations.endpoints),
        ];
        for (key, pick, letter, count) in picks {
            let Some(pick) = pick else { continue };
            match self.pick(pick, letter, count).context(key)? {
                Pick::Destination(d) if key == "couriers" || d >= self.destinations.count => {
                    bail!("{key} = {pick:?}: there is no such destination to pick by");
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// What a text picks of so many.
#[derive(Debug, PartialEq)]
pub enum Pick {
    /// A share, to be drawn.
    Share(f64),
    These(Vec<usize>),
    /// All in these zones, by their numbers.
    Zones(Vec<usize>),
    Destination(usize),
}

impl Experiment {
    /// What a text picks of so many whose names begin with that letter.
    pub fn pick(&self, text: &str, letter: &str, count: usize) -> Result<Pick> {
        let zone = |name: &String| {
            let at = self.zones.iter().position(|z| z == name);
            at.with_context(|| format!("{text:?}: there is no zone {name:?}"))
        };
        match text.split_once(':') {
            Some(("zone", name)) => Ok(Pick::Zones(vec![zone(&name.to_owned())?])),
            Some(("region", name)) => {
                let zones = self.regions.get(name).with_context(|| format!("there is no region {name:?}"))?;
                Ok(Pick::Zones(zones.iter().map(zone).collect::<Result<_>>()?))
            }
            Some(("dest", number)) => {
                Ok(Pick::Destination(number.parse().with_context(|| format!("{text:?}: no number"))?))
            }
            Some(_) => bail!("{text:?}: picks go by zone, region or dest"),
            None => pick_names(text, letter, count),
        }
    }
}

/// `all`, `30%`, or names: a letter and a number.
fn pick_names(text: &str, letter: &str, count: usize) -> Result<Pick> {
    if text == "all" {
        return Ok(Pick::These((0..count).collect()));
    }
    if let Some(share) = text.strip_suffix('%') {
        let share: f64 = share.trim().parse().with_context(|| format!("{text:?} is no share"))?;
        if !(0.0..=100.0).contains(&share) {
            bail!("{text:?} is no share");
        }
        return Ok(Pick::Share(share / 100.0));
    }
    let number = |name: &str| {
        let number = name.trim().strip_prefix(letter).and_then(|n| n.parse().ok());
        number.filter(|n| *n < count).with_context(|| format!("{text:?}: there is no {:?}", name.trim()))
    };
    Ok(Pick::These(text.split(',').map(number).collect::<Result<_>>()?))
}

fn put(table: &mut toml::Table, key: &str, value: &str) -> Result<()> {
    let parsed = format!("v = {value}").parse::<toml::Table>();
    let value = match parsed {
        Ok(mut parsed) => parsed.remove("v").context("no value")?,
        Err(_) => toml::Value::String(value.to_owned()),
    };
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    let mut at = table;
    for part in path.into_iter().flat_map(|p| p.split('.')) {
        let inner = at.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        at = inner.as_table_mut().with_context(|| format!("{part:?} is no table"))?;
    }
    at.insert(last.to_owned(), value);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: &str = "name = 'x'\nabout = 'y'\nseconds = 5\n[load]\nrate = 10\n";

    fn fault(text: &str, set: &[&str]) -> String {
        let set: Vec<_> = set.iter().map(|s| (*s).to_owned()).collect();
        format!("{:#}", Experiment::parse(text, &set).expect_err("it is at fault"))
    }

    #[test]
    fn the_least_file_has_a_world() {
        let e = Experiment::parse(LEAST, &[]).expect("it is sound");
        assert_eq!((e.couriers.count, e.class.len(), e.tenant.len()), (1, 2, 5));
    }

    #[test]
    fn what_is_wrong_is_named_with_its_line_and_key() {
        let unknown = fault(&format!("{LEAST}rates = 3\n"), &[]);
        assert!(unknown.contains("line 6") && unknown.contains("rates"), "{unknown}");
        let step = format!("{LEAST}\n[[at]]\nt = 1\ndo = 'kill'\ncouriers = 'n7'\n");
        let nobody = fault(&step, &[]);
        assert!(nobody.contains("line 7") && nobody.contains("n7"), "{nobody}");
        let act = fault(&format!("{LEAST}\n[[at]]\nt = 1\ndo = 'kil'\n"), &[]);
        assert!(act.contains("line 9") && act.contains("kil"), "{act}");
        let measure = fault(&format!("{LEAST}\n[[at]]\nt = 1\ndo = 'slow'\n"), &[]);
        assert!(measure.contains("by"), "{measure}");
        assert!(fault(LEAST, &["load.rate=0"]).contains("load.rate"));
        assert!(fault(LEAST, &["load.rat=3"]).contains("rat"));
        assert!(fault(LEAST, &["load"]).contains("--set load"));
        assert!(fault(LEAST, &["expect.may_break=['sleep']"]).contains("sleep"));
    }

    #[test]
    fn keys_are_set_to_other_values() {
        let set = ["load.rate=70".to_owned(), "name=other".to_owned(), "couriers.count=3".to_owned()];
        let e = Experiment::parse(LEAST, &set).expect("it is sound");
        assert_eq!((e.load.rate, e.name.as_str(), e.couriers.count), (70.0, "other", 3));
    }

    #[test]
    fn the_experiments_at_hand_are_sound() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
        let files = std::fs::read_dir(folder).expect("the folder").flatten().map(|f| f.path());
        let read: Vec<_> = files.map(|f| Experiment::read(&f, &[]).expect("it is sound").name).collect();
        assert!(read.len() >= 3, "{read:?}");
    }

    #[test]
    fn picks_are_names_or_shares() {
        assert_eq!(pick_names("n0, n2", "n", 3).expect("names"), Pick::These(vec![0, 2]));
        assert_eq!(pick_names("70%", "n", 3).expect("a share"), Pick::Share(0.7));
        assert!(pick_names("n3", "n", 3).is_err() && pick_names("170%", "n", 3).is_err());
    }
}
