//! tmp
use citronrill_lab::*;
fn main() {
    let a: Vec<u64> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let actions = random_actions(a[0], a[1] as usize);
    for _ in 0..3 {
        let mut w = fuzz_world(a[0]);
        w.run(2000);
        for (i, x) in actions.iter().enumerate() {
            x.carry_out(&mut w);
            let v = check(&w);
            if !v.is_empty() {
                println!("{i} {v:?} {}", w.steps);
                break;
            }
        }
        println!("steps {}", w.steps);
    }
    println!("{:?}", fuzz(a[0], &actions).violation);
}
