//! Every kind of fault, with its variants, its fields and their ranges.

pub use crate::kind::{Availability, Category, Field, Kind, Part, Scope, Slot};

use crate::kind::{integer, number};
use Category::{Change, Client, Clock, ControllerLoss, Disk, Endpoint, Link, Replacement, Router};

/// Down time of a controller, seconds; now and then it is away for most of a day.
const DOWN_TIME: Field = number("for_s", 0.8, 6.0).or_rarely(10.0, 22.0);
const SHORT_DOWN_TIME: Field = number("for_s", 0.8, 4.0);
const DURATION: Field = number("for_s", 2.0, 7.0);
const ONE: Field = integer("count", 1, 1);
const FEW: Field = integer("count", 1, 2);
const INTERVAL: Field = number("gap_s", 0.2, 1.5);
const SOME_ENDPOINTS: Field = number("share", 0.08, 0.2);
const SOME_ROUTERS: Field = number("share", 0.1, 0.4);
const CONFIGURATION_PARTS: Slot = &["route", "weights", "timeout", "tenant", "quota", "idle"];
const SPREAD: Slot = &["", "", "", "across", "all"];
const POWER: Slot = &["", "power"];
const OLDEST: Slot = &["", "oldest"];

/// All kinds.
pub const KINDS: &[Kind] = &[
    Kind::fault("node_kill", ControllerLoss, &[FEW, DOWN_TIME]).with(&[POWER]).on(Scope::Core).choosing(),
    Kind::fault("node_freeze", ControllerLoss, &[FEW, DOWN_TIME]).on(Scope::Core).choosing(),
    Kind::fault("node_slow", ControllerLoss, &[ONE, number("x", 3.0, 10.0), DURATION])
        .on(Scope::Core)
        .choosing(),
    Kind::fault("herd_kill", ControllerLoss, &[SHORT_DOWN_TIME])
        .with(&[&["", "power", "power taken", "taken", "taken all"]])
        .on(Scope::Core),
    Kind::fault("after_ack_kill", ControllerLoss, &[FEW, DOWN_TIME]).with(&[&[
        "",
        "kill",
        "timed",
        "kill timed",
        "taken",
        "taken gone",
    ]]),
    Kind::fault("after_ack_wipe", ControllerLoss, &[ONE, DOWN_TIME]).with(&[&[
        "",
        "timed",
        "taken",
        "oldest",
        "oldest timed",
    ]]),
    Kind::fault("replace_core", Replacement, &[ONE, number("x", 0.5, 4.0)])
        .with(&[&["", "seed", "leader", "turn"], OLDEST]),
    Kind::planned("replace_core", Replacement, &[ONE, number("x", 0.5, 4.0)]).with(&[
        &["planned"],
        OLDEST,
        &["", "seed", "leader", "turn"],
    ]),
    Kind::planned("seed_turnover", Replacement, &[]),
    Kind::planned(
        "roll_term",
        Replacement,
        &[number("share", 0.3, 1.0), integer("x", 1, 1), number("gap_s", 1.0, 4.0)],
    )
    .with(&[&["", "busy"]])
    .on(Scope::Core),
    Kind::fault("core_cut", Link, &[FEW, DOWN_TIME])
        .with(&[
            &["", "", "all", "near", "oldest", "one_way", "seeds", "both", "lure"],
            &["", "", "reset", "refuse"],
        ])
        .choosing(),
    Kind::fault("node_cut", Link, &[SOME_ROUTERS, DURATION]).with(&[&["", "all", "servers"]]),
    Kind::fault("srv_cut", Link, &[SOME_ENDPOINTS, number("x", 0.1, 0.5), DURATION])
        .with(&[&["", "fronts", "one_way", "reset"]])
        .on(Scope::Service),
    Kind::fault("reset_conns", Link, &[number("share", 0.1, 0.6), number("x", 0.2, 1.0)]),
    Kind::fault("reset_conns", Link, &[number("share", 0.4, 1.0), number("x", 0.3, 1.0)]).on(Scope::Core),
    Kind::fault("lossy", Link, &[number("x", 0.01, 0.04), DURATION])
        .on(Scope::Zone)
        .only(Availability::Listed),
    Kind::fault("disk_slow", Disk, &[FEW, number("x", 10.0, 80.0), number("for_s", 2.0, 9.0)]).choosing(),
    Kind::fault("disk_full", Disk, &[FEW, number("for_s", 2.0, 7.0).or_rarely(10.0, 18.0)]).choosing(),
    Kind::fault("disk_stall", Disk, &[FEW, number("for_s", 1.0, 5.0).or_rarely(6.0, 12.0)]).choosing(),
    Kind::fault("clock_step", Clock, &[number("share", 0.2, 0.7), number("x", 500.0, 5000.0), DURATION])
        .with(&[&["", "back", "ahead"]])
        .choosing(),
    Kind::planned("config_change", Change, &[]).with(&[CONFIGURATION_PARTS]),
    Kind::planned("config_storm", Change, &[number("for_s", 1.5, 8.0), number("gap_s", 0.08, 0.9)])
        .with(&[CONFIGURATION_PARTS]),
    Kind::planned("config_race", Change, &[integer("count", 1, 5), INTERVAL]),
    Kind::planned("bad_config", Change, &[integer("count", 1, 4), INTERVAL]).with(&[&[
        "",
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
    ]]),
    Kind::planned("big_config", Change, &[integer("count", 200, 1400)]).only(Availability::Listed),
    Kind::fault("ack_lost", Change, &[number("x", 0.3, 0.9), number("for_s", 3.0, 14.0)]),
    Kind::planned("hup", Change, &[number("share", 0.3, 1.0), number("gap_s", 0.5, 3.0)]),
    Kind::fault("node_kill", Router, &[SOME_ROUTERS, SHORT_DOWN_TIME]).with(&[POWER]),
    Kind::fault("node_freeze", Router, &[SOME_ROUTERS, SHORT_DOWN_TIME]),
    Kind::fault("node_slow", Router, &[SOME_ROUTERS, number("x", 2.0, 6.0), DURATION]),
    Kind::fault("herd_kill", Router, &[number("share", 0.3, 0.7), number("for_s", 0.8, 2.0)]).with(&[POWER]),
    Kind::planned(
        "roll_term",
        Router,
        &[number("share", 0.3, 1.0), integer("x", 1, 2), number("gap_s", 0.8, 2.0)],
    )
    .with(&[&["", "busy"]]),
    // Routers that leave do not come back: three such entries must leave some.
    Kind::planned(
        "roll_term",
        Router,
        &[number("share", 0.1, 0.25), integer("x", 1, 2), number("gap_s", 0.8, 2.0)],
    )
    .with(&[&["remove"]]),
    Kind::fault("srv_crash", Endpoint, &[SOME_ENDPOINTS, DURATION])
        .with(&[&["", "dark"], SPREAD])
        .on(Scope::Service),
    // Endpoints that are gone for good: never all of a service.
    Kind::fault("srv_crash", Endpoint, &[SOME_ENDPOINTS]).with(&[&["gone"]]).on(Scope::Service),
    Kind::planned(
        "release",
        Endpoint,
        &[number("share", 0.1, 0.4), integer("x", 1, 2), number("gap_s", 0.6, 1.5)],
    )
    .on(Scope::Service),
    Kind::planned("scale_in", Endpoint, &[SOME_ENDPOINTS]).on(Scope::Service),
    Kind::fault("scale_in", Endpoint, &[SOME_ENDPOINTS, number("x", 1.5, 3.0)])
        .with(&[&["spot"]])
        .on(Scope::Service),
    Kind::planned("scale_out", Endpoint, &[number("share", 0.1, 0.4), number("gap_s", 0.5, 3.0)])
        .on(Scope::Service),
    Kind::fault("replace_with_reuse", Endpoint, &[SOME_ENDPOINTS]).with(&[&["", "drain", "dark"]]),
    Kind::fault("answer_lost", Endpoint, &[number("share", 0.2, 0.6), number("x", 0.02, 0.06), DURATION])
        .with(&[&["", "reset"]])
        .on(Scope::Service),
    Kind::fault("garble", Endpoint, &[number("share", 0.2, 0.6), number("x", 0.01, 0.04), DURATION])
        .with(&[&["", "extra", "extra late", "unframed", "early"]])
        .on(Scope::Service),
    Kind::fault("srv_slow", Endpoint, &[SOME_ENDPOINTS, number("x", 2.0, 6.0), DURATION]).on(Scope::Service),
    Kind::fault("srv_grey", Endpoint, &[SOME_ENDPOINTS, number("x", 0.2, 0.6), DURATION])
        .with(&[&["errors", "shed", "busy", "hang", "reset", "mute"], &["", "", "one_zone"]])
        .on(Scope::ServiceAndCallers),
    Kind::fault("srv_grey", Endpoint, &[SOME_ENDPOINTS, number("x", 3.0, 10.0), DURATION])
        .with(&[&["slow"], &["", "", "one_zone"]])
        .on(Scope::ServiceAndCallers),
    Kind::fault("srv_lying_health", Endpoint, &[SOME_ENDPOINTS, DURATION])
        .with(&[&["errors", "hang", "reset", "bad"]])
        .on(Scope::Service)
        .only(Availability::Contract("health")),
    Kind::fault("srv_flap", Endpoint, &[SOME_ENDPOINTS, number("gap_s", 0.8, 2.0), DURATION])
        .on(Scope::Service)
        .only(Availability::Contract("health")),
    Kind::fault("idle_race", Endpoint, &[number("share", 0.3, 0.7), number("x", 150.0, 600.0), DURATION])
        .on(Scope::Service)
        .only(Availability::Contract("pool")),
    Kind::fault("burst", Client, &[number("x", 1.3, 2.4), number("for_s", 2.0, 5.0)]).on(Scope::Traffic),
    Kind::fault("retry_abuse", Client, &[number("share", 0.1, 0.4), integer("x", 1, 2), DURATION]),
    Kind::fault("give_up", Client, &[number("share", 0.1, 0.4), DURATION]),
];
