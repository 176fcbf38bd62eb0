//! Shares of organisations in the room of a service.

mod fleet;

use rstest::rstest;

use self::fleet::{CAPACITY, Fleet, Mode};

/// Arrivals a second of 16 organisations, three of them large: six tenths of the capacity.
fn usual() -> Vec<f64> {
    let mut rates = vec![0.15, 0.1, 0.075];
    rates.extend([0.275 / 13.0; 13]);
    rates.into_iter().map(|part| part * CAPACITY).collect()
}

fn burst(of: usize) -> Vec<f64> {
    let mut rates = usual();
    rates[of] *= 7.0;
    rates
}

/// More requests for the first entries than for the last.
fn skewed(_: usize, drawn: f64) -> f64 {
    drawn * drawn
}

#[rstest]
fn trial(#[values(5, 31, 68)] entries: usize, #[values(Mode::Side, Mode::Alone, Mode::Off)] mode: Mode) {
    let mut fleet = Fleet::new(entries, 16, mode);
    fleet.run(6_000, &usual(), skewed);
    let before = fleet.take();
    fleet.run(500, &burst(0), skewed);
    let onset = fleet.take();
    fleet.run(5_500, &burst(0), skewed);
    let during = fleet.take();
    for (name, t, s) in [("before", before, 6.0), ("onset", onset, 0.5), ("during", during, 5.5)] {
        let below = &t[1..];
        println!("{entries} {mode:?} {name}: large {:?}; below full {} other {} of {}; served {:.3}", t[0],
          below.iter().map(|t| t.full).sum::<u64>(), below.iter().map(|t| t.other).sum::<u64>(), below.iter().map(|t| t.arrived).sum::<u64>(),
          t.iter().map(|t| t.served).sum::<u64>() as f64 / s / CAPACITY);
    }
    println!("over {} reports {}", fleet.over_requests(), fleet.reports);
}
