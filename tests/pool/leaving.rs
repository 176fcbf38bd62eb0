//! Endpoints that say in their responses that they leave, over real processes.

use std::{thread, time::Duration};

use citronrill_platform_standin::{Outage, Worker};
use rstest::rstest;

use crate::support::{Deployment, Request};

/// Milliseconds after a response within which requests may still be on their way.
const ON_THE_WAY_MS: u64 = 200;

fn workers<'a>(pool: &'a Deployment, path: &str) -> Vec<&'a Worker> {
    if path.starts_with("/book/") { vec![&pool.ledger] } else { pool.engines.iter().collect() }
}

/// Guards against requests to an endpoint that has said that it leaves, while the platform store answers
/// nobody, or lists the endpoint as ready.
#[rstest]
#[case::engine("/draft/x", true)]
#[case::engine_listed("/draft/x", false)]
#[case::plain("/book/x", true)]
#[case::plain_listed("/book/x", false)]
fn an_endpoint_that_says_that_it_leaves_gets_no_requests(
    #[case] path: &'static str,
    #[case] store_away: bool,
) {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    assert_eq!(pool.request(&Request::on(path, "before")).status, 200);
    if store_away {
        pool.store.set_outage(Some(Outage::Hang));
    }
    workers(&pool, path).iter().for_each(|worker| worker.set_leaving(true));
    // Its side may have told the entry before this request.
    pool.request(&Request::on(path, "told"));
    thread::sleep(Duration::from_millis(ON_THE_WAY_MS));
    let received = |worker: &&Worker| worker.received().len();
    let before = workers(&pool, path).iter().map(received).sum::<usize>();
    for number in 0..8 {
        // Its row is written again, as by a heartbeat from before it left.
        if !store_away {
            workers(&pool, path).iter().for_each(|worker| worker.register("ready"));
        }
        let id = format!("after-{number}");
        assert_eq!(pool.request(&Request::on(path, &id)).status, 503);
        thread::sleep(Duration::from_millis(ON_THE_WAY_MS));
    }
    let after = workers(&pool, path).iter().map(received).sum::<usize>();
    assert_eq!(after, before);
}
