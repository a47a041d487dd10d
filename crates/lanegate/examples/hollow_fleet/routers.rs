//! Hollow routers: each follows its agent's feed and reports demand, and carries no traffic.

use crate::Outcome;
use crate::configuration::{SERVICE, adapter_name, model_name};
use crate::layout::Layout;
use lanegate_controller::feed_client;
use lanegate_model::demand::{DemandReport, ModelDemand};
use lanegate_model::feed::FeedEvent;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval_at};

/// Time between demand reports, as in the router.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Tokens of one request.
const REQUEST_TOKENS: u64 = 1_200;

/// What one router has learned.
enum Learned {
    Synchronized,
    Configuration(u64),
}

/// Runs the routers of these numbers and prints, each on a line, what all of them know.
pub async fn run(layout: &Layout, numbers: Range<usize>) -> Outcome<()> {
    let count = numbers.len();
    let (learned, mut news) = unbounded_channel();
    for number in numbers {
        let (events, feed) = unbounded_channel();
        let (demand, reports) = unbounded_channel();
        spawn_local(feed_client(layout.router_settings(number)?, events, reports));
        spawn_local(follow(feed, learned.clone()));
        spawn_local(report(layout.clone(), number, demand));
    }
    let (mut synchronized, mut version, mut have) = (0, 0, 0);
    while let Some(news) = news.recv().await {
        match news {
            Learned::Synchronized => synchronized += 1,
            Learned::Configuration(newer) if newer > version => (version, have) = (newer, 1),
            Learned::Configuration(same) if same == version => have += 1,
            Learned::Configuration(_) => continue,
        }
        if synchronized == count && have == count {
            println!("{version}");
        }
    }
    Ok(())
}

async fn follow(mut feed: UnboundedReceiver<FeedEvent>, learned: UnboundedSender<Learned>) {
    while let Some(event) = feed.recv().await {
        let news = match event {
            FeedEvent::Synchronized => Learned::Synchronized,
            FeedEvent::Configuration(configuration) => Learned::Configuration(configuration.version),
            _ => continue,
        };
        let _ = learned.send(news);
    }
}

async fn report(layout: Layout, number: usize, demand: UnboundedSender<DemandReport>) {
    let mut random = SmallRng::seed_from_u64(number as u64);
    let first = Instant::now() + REPORT_PERIOD.mul_f64(random.random());
    let mut ticks = interval_at(first, REPORT_PERIOD);
    loop {
        ticks.tick().await;
        let models = (0..layout.asked_models).map(|_| asked(&layout, &mut random)).collect();
        if demand.send(DemandReport { period_ms: 1_000, models }).is_err() {
            return;
        }
    }
}

/// Most requests go to a few models; half of them name one of the model's first adapters.
fn asked(layout: &Layout, random: &mut SmallRng) -> ModelDemand {
    let model = (random.random::<f64>().powi(4) * layout.models as f64) as usize;
    let of_model = (layout.adapters / layout.models.max(1)).max(1);
    let adapter = (random.random::<f64>().powi(8) * of_model as f64) as usize;
    ModelDemand {
        backend: SERVICE.to_owned(),
        model: model_name(model),
        adapter: random.random_bool(0.5).then(|| adapter_name(adapter)),
        requests: layout.asked_requests,
        tokens: u64::from(layout.asked_requests) * REQUEST_TOKENS,
        unplaced: 0,
    }
}
