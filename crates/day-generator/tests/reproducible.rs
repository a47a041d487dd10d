//! Days that were drawn before are drawn alike for ever: findings name them by seed and number alone.

use day_generator::{Draw, Profile, Site, Weights, draw_day};
use std::path::{Path, PathBuf};

/// A day that was drawn before: the mixed ones at commit 2a0648b, the crowded ones when their profile was new.
struct Drawn {
    site: &'static str,
    file: &'static str,
    seed: u64,
    number: u32,
    profile: Profile,
}

const DRAWN: [Drawn; 5] = [
    Drawn {
        site: "atoll-clinic",
        file: "atoll-clinic-56-000.toml",
        seed: 56,
        number: 0,
        profile: Profile::mixed(Weights::Control),
    },
    Drawn {
        site: "fjord-pilotage",
        file: "fjord-pilotage-55-001.toml",
        seed: 55,
        number: 1,
        profile: Profile::Mixed { weights: Weights::Control, max_faults: 22 },
    },
    Drawn {
        site: "fjord-pilotage",
        file: "fjord-pilotage-4-001.toml",
        seed: 4,
        number: 1,
        profile: Profile::mixed(Weights::Endpoints),
    },
    Drawn {
        site: "atoll-clinic",
        file: "atoll-clinic-planned-60-000.toml",
        seed: 60,
        number: 0,
        profile: Profile::Planned,
    },
    Drawn {
        site: "fjord-pilotage",
        file: "fjord-pilotage-orders-61-000.toml",
        seed: 61,
        number: 0,
        profile: Profile::Orders,
    },
];

fn site(name: &str) -> Site {
    let file: PathBuf =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/sites/{name}/{name}.toml"));
    Site::read(&file).expect("the site file can be read")
}

#[test]
fn old_days_are_drawn_as_they_were() {
    for drawn in DRAWN {
        let day =
            draw_day(&site(drawn.site), Draw { seed: drawn.seed, profile: drawn.profile }, drawn.number);
        let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(drawn.file);
        let before = std::fs::read_to_string(golden).expect("the day as it was drawn");
        assert_eq!(day.to_string(), before, "{}", drawn.file);
    }
}
