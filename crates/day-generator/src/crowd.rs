//! What days of the crowded profiles are full of: a few kinds, each often and with wider ranges than in the
//! [`catalogue`](crate::catalogue).

use crate::kind::{Category, Field, Kind, Scope, Slot, integer, number};
use Category::{Change, Client, Clock, ControllerLoss, Endpoint, Link, Replacement, Router};

/// A kind of which a crowd is drawn, and how often it comes in relation to the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The kind.
    pub kind: Kind,
    /// How often it is drawn, in shares of the sum over all members.
    pub weight: u32,
}

/// Fewest and most of something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// The fewest.
    pub least: usize,
    /// The most.
    pub most: usize,
}

/// A few kinds that fill a day, beside a few faults of the catalogue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    /// The kind that every day has at least once.
    pub always: Kind,
    /// The kinds of which the rest of the crowd is drawn.
    pub members: &'static [Member],
    /// Entries of the crowd beside the one that every day has.
    pub size: Count,
    /// Faults of the catalogue beside the crowd.
    pub others: Count,
}

const fn member(weight: u32, kind: Kind) -> Member {
    Member { kind, weight }
}

const ONE: Field = integer("count", 1, 1);
const ONE_OR_TWO_AT_A_TIME: Field = integer("x", 1, 2);
const ALL_OF_THEM: Field = number("share", 1.0, 1.0);
const BETWEEN_STOPS: Field = number("gap_s", 1.0, 3.0);
const DURATION: Field = number("for_s", 2.0, 7.0);
const QUIET_PARTS: Slot = &["idle", "weights", "timeout", "route"];
const BUSY: Slot = &["", "", "busy"];

/// All routers are stopped and started in turn.
const ALL_ROUTERS_IN_TURN: Kind =
    Kind::planned("roll_term", Router, &[ALL_OF_THEM, ONE_OR_TWO_AT_A_TIME, BETWEEN_STOPS]).with(&[BUSY]);

/// All controllers are stopped and started in turn.
const ALL_CONTROLLERS_IN_TURN: Kind =
    Kind::planned("roll_term", Replacement, &[ALL_OF_THEM, integer("x", 1, 1), number("gap_s", 1.0, 4.0)])
        .on(Scope::Core);

/// Changes in quick succession that take nothing from what clients ask for.
const QUIET_STORM: Kind =
    Kind::planned("config_storm", Change, &[number("gap_s", 0.3, 1.2), number("for_s", 5.0, 15.0)])
        .with(&[QUIET_PARTS]);

const RELEASE: Kind = Kind::planned(
    "release",
    Endpoint,
    &[number("share", 0.2, 1.0), ONE_OR_TWO_AT_A_TIME, number("gap_s", 0.6, 1.5)],
)
.on(Scope::Service);

const SCALE_IN: Kind = Kind::planned("scale_in", Endpoint, &[number("share", 0.08, 0.2)]).on(Scope::Service);

/// Planned work of all sorts at once: routers that end while the configuration changes, releases, replacements.
pub const PLANNED_WORK: Crowd = Crowd {
    always: ALL_ROUTERS_IN_TURN,
    members: &[
        member(5, ALL_ROUTERS_IN_TURN),
        member(5, QUIET_STORM),
        member(2, Kind::planned("config_change", Change, &[]).with(&[QUIET_PARTS])),
        member(1, Kind::planned("config_race", Change, &[integer("count", 1, 5), number("gap_s", 0.2, 1.5)])),
        member(3, Kind::planned("hup", Change, &[number("share", 0.3, 1.0), number("gap_s", 0.5, 3.0)])),
        member(2, RELEASE),
        member(1, SCALE_IN),
        member(
            2,
            Kind::planned("replace_core", Replacement, &[ONE, number("x", 0.5, 4.0)])
                .with(&[&["planned"], &["", "leader", "seed", "turn"]]),
        ),
        member(1, Kind::planned("seed_turnover", Replacement, &[])),
        member(2, ALL_CONTROLLERS_IN_TURN),
    ],
    size: Count { least: 4, most: 10 },
    others: Count { least: 0, most: 4 },
};

/// Demand that moves to other models.
const MODEL_SHIFT: Kind =
    Kind::planned("model_shift", Client, &[integer("count", 1, 6), number("for_s", 1.5, 11.0)]);

/// Orders to endpoints in quick succession, while those who give, carry or take them fail.
pub const ORDERS: Crowd = Crowd {
    always: MODEL_SHIFT,
    members: &[
        member(6, MODEL_SHIFT),
        member(3, Kind::fault("burst", Client, &[number("x", 1.3, 3.0), DURATION]).on(Scope::Traffic)),
        member(
            3,
            Kind::fault("node_kill", ControllerLoss, &[ONE, number("for_s", 0.8, 6.0)])
                .with(&[&["giver", "giver", "leader", "power giver"]])
                .on(Scope::Core),
        ),
        member(
            2,
            Kind::fault("node_freeze", ControllerLoss, &[ONE, number("for_s", 0.8, 6.0)])
                .with(&[&["giver", "giver", "leader"]])
                .on(Scope::Core),
        ),
        member(2, ALL_CONTROLLERS_IN_TURN),
        member(
            1,
            Kind::fault("core_cut", Link, &[ONE, number("for_s", 0.8, 6.0)])
                .with(&[&["", "all", "one_way"], &["", "giver"]]),
        ),
        member(
            2,
            Kind::fault("reset_conns", Link, &[number("share", 0.4, 1.0), number("x", 0.3, 1.0)])
                .on(Scope::Core),
        ),
        member(1, Kind::fault("lossy", Link, &[number("x", 0.02, 0.05), number("for_s", 3.0, 8.0)])),
        member(
            2,
            Kind::fault("srv_cut", Link, &[number("share", 0.1, 0.4), DURATION])
                .with(&[&["", "fronts", "one_way", "reset"]])
                .on(Scope::Service),
        ),
        member(
            2,
            Kind::fault(
                "clock_step",
                Clock,
                &[number("share", 0.3, 0.7), number("x", 500.0, 6500.0), DURATION],
            )
            .with(&[&["", "back", "ahead"]]),
        ),
        member(
            3,
            Kind::fault("srv_crash", Endpoint, &[number("share", 0.1, 0.35), DURATION])
                .with(&[&["", "dark"]])
                .on(Scope::Service),
        ),
        member(
            3,
            Kind::fault(
                "answer_lost",
                Endpoint,
                &[number("share", 0.3, 0.8), number("x", 0.04, 0.15), number("for_s", 3.0, 8.0)],
            )
            .with(&[&["", "reset"]])
            .on(Scope::Service),
        ),
        member(
            2,
            Kind::fault("replace_with_reuse", Endpoint, &[number("share", 0.08, 0.25)])
                .with(&[&["", "drain", "dark"]]),
        ),
        member(
            2,
            Kind::fault("srv_slow", Endpoint, &[number("share", 0.1, 0.35), number("x", 2.0, 6.0), DURATION])
                .on(Scope::Service),
        ),
        member(2, RELEASE),
        member(1, SCALE_IN),
        member(1, QUIET_STORM),
    ],
    size: Count { least: 9, most: 17 },
    others: Count { least: 0, most: 2 },
};
