//! tmp
use citronrill_lab::*;
fn main() {
    let a: Vec<u64> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let (from, to, n) = (a[0], a[1], a[2] as usize);
    let mut bad = 0;
    let (mut steps, mut req, mut ans) = (0, 0, 0);
    let t = std::time::Instant::now();
    for seed in from..to {
        let actions = random_actions(seed, n);
        let r = fuzz(seed, &actions);
        steps += r.steps;
        req += r.requests;
        ans += r.answered;
        if let Some((i, v)) = r.violation {
            bad += 1;
            if bad <= 4 {
                println!("seed {seed} action {i} {:?}", actions.get(i));
                for x in v.iter().take(4) {
                    println!("   {x}");
                }
            }
        }
    }
    println!("bad {bad} steps {steps} requests {req} answered {ans} in {:?}", t.elapsed());
}
