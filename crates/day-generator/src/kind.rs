//! What a kind of fault is made of: its category, its variants, its fields and their ranges.

/// What a kind strikes; weights are given by category.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Category {
    /// Kills, freezes, wipes and losses of power of controllers.
    ControllerLoss,
    /// Controllers and seeds that are exchanged for others.
    Replacement,
    /// Partitions, resets and losses on links.
    Link,
    /// Disks of controllers.
    Disk,
    /// The time of day.
    Clock,
    /// Changes of the configuration, and their acknowledgements.
    Change,
    /// Routers.
    Router,
    /// Endpoints.
    Endpoint,
    /// Clients.
    Client,
}

impl Category {
    /// All categories.
    pub const ALL: [Self; 9] = [
        Self::ControllerLoss,
        Self::Replacement,
        Self::Link,
        Self::Disk,
        Self::Clock,
        Self::Change,
        Self::Router,
        Self::Endpoint,
        Self::Client,
    ];
}

/// In which list of a day a kind stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Planned work.
    Plan,
    /// All else.
    Faults,
}

/// On which sites a kind may come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// On all sites.
    Always,
    /// On sites that name this contract.
    Contract(&'static str),
    /// On sites that list it among their faults.
    Listed,
}

/// What a kind is narrowed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Nothing.
    Everywhere,
    /// Machines that count for the quorum.
    Core,
    /// Sometimes one service.
    Service,
    /// Sometimes one service; callers in one zone where the variant asks for it.
    ServiceAndCallers,
    /// A zone or a kind of requests.
    Traffic,
    /// Always one zone.
    Zone,
}

/// Alternatives for one place in the variant; an empty one leaves it out, a repeated one is likelier.
pub type Slot = &'static [&'static str];

/// A number that a kind may carry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Field {
    /// Key in the day file; its unit is told by the key (`for_s` and `gap_s` are seconds).
    pub key: &'static str,
    /// Least value.
    pub low: f64,
    /// Greatest value.
    pub high: f64,
    /// Now and then drawn from here instead.
    pub rare: Option<(f64, f64)>,
    /// Whether it has no fraction.
    pub is_integer: bool,
}

impl Field {
    pub(crate) const fn or_rarely(mut self, low: f64, high: f64) -> Self {
        self.rare = Some((low, high));
        self
    }
}

/// A number that has a fraction.
pub(crate) const fn number(key: &'static str, low: f64, high: f64) -> Field {
    Field { key, low, high, rare: None, is_integer: false }
}

/// A whole number.
pub(crate) const fn integer(key: &'static str, low: u32, high: u32) -> Field {
    Field { key, low: low as f64, high: high as f64, rare: None, is_integer: true }
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Name, as day files have it.
    pub name: &'static str,
    /// What it strikes.
    pub category: Category,
    /// The list of a day in which it stands.
    pub part: Part,
    /// On which sites it may come.
    pub availability: Availability,
    /// What it is narrowed to.
    pub scope: Scope,
    /// Alternatives for each place of the variant.
    pub slots: &'static [Slot],
    /// Whether the variant may say which machine is struck and what meets it.
    pub chooses_machine: bool,
    /// Numbers that it carries.
    pub fields: &'static [Field],
}

impl Kind {
    pub(crate) const fn fault(name: &'static str, category: Category, fields: &'static [Field]) -> Self {
        Self {
            name,
            category,
            part: Part::Faults,
            availability: Availability::Always,
            scope: Scope::Everywhere,
            slots: &[],
            chooses_machine: false,
            fields,
        }
    }

    pub(crate) const fn planned(name: &'static str, category: Category, fields: &'static [Field]) -> Self {
        Self { part: Part::Plan, ..Self::fault(name, category, fields) }
    }

    pub(crate) const fn with(self, slots: &'static [Slot]) -> Self {
        Self { slots, ..self }
    }

    pub(crate) const fn on(self, scope: Scope) -> Self {
        Self { scope, ..self }
    }

    pub(crate) const fn choosing(self) -> Self {
        Self { chooses_machine: true, ..self }
    }

    pub(crate) const fn only(self, availability: Availability) -> Self {
        Self { availability, ..self }
    }
}
