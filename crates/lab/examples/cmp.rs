//! tmp
use citronrill_decide::rows::*;
use citronrill_lab::*;
fn main() {
    let a: Vec<u64> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let actions = random_actions(a[0], a[1] as usize);
    let mut w = fuzz_world(a[0]);
    w.run(2000);
    for x in &actions {
        x.carry_out(&mut w);
    }
    w.faults = Faults::default();
    w.run(40_000);
    for i in 0..3 {
        w.restart_entry(i);
    }
    for e in w.living_endpoints() {
        if !w.has_side(e) {
            w.start_side(e);
        }
    }
    w.run(420_000);
    for r in w.rows() {
        match row_kind(&r.key) {
            RowKind::Endpoint(_) => {
                if let Some(e) = decode::<EndpointRow>(&r.body) {
                    println!(
                        "{} v{} epoch {} leaving {} inst {}",
                        r.key, r.version, e.epoch, e.leaving, e.instance
                    );
                    for p in e.replicas {
                        println!(
                            "   {} {:?} order {} remote {} mb {} base {}",
                            p.model,
                            p.phase(),
                            p.order,
                            p.remote,
                            p.memory_mb,
                            p.base
                        );
                    }
                }
            }
            RowKind::Weights => println!("{:?}", decode::<WeightsRow>(&r.body)),
            RowKind::Model(_) => {
                if let Some(m) = decode::<ModelRow>(&r.body) {
                    println!("{} {:?} failures {}", r.key, m.holders, m.failures)
                }
            }
            RowKind::Share(..) => println!("{} {:?}", r.key, decode::<ShareRow>(&r.body)),
            RowKind::Member(_) => println!("{} {}", r.key, r.body.is_some()),
            _ => {}
        }
    }
    for e in 0..4 {
        println!("{}\n", w.side_debug(e));
    }
}
