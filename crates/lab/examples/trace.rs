//! tmp
use citronrill_lab::*;
fn class(v: &Option<(usize, Vec<String>)>) -> Option<&'static str> {
    v.as_ref().map(|(_, w)| {
        let t = &w[0];
        [
            "not decided",
            "refused as not run, but",
            "ran at",
            "the ledger has",
            "no answer",
            "after the rest",
            "booked",
            "overcommits",
            "ended at",
            "went back",
            "replicas of",
            "without its base",
            "permit",
            "its row has",
        ]
        .iter()
        .find(|k| t.contains(**k))
        .copied()
        .unwrap_or("other")
    })
}
fn main() {
    let a: Vec<u64> = std::env::args().skip(1).map(|x| x.parse().unwrap()).collect();
    let mut cur = random_actions(a[0], a[1] as usize);
    let bad = |acts: &[Action]| fuzz(a[0], acts).violation;
    let want = class(&bad(&cur));
    println!("{want:?}");
    while std::env::var("NOSHRINK").is_err() {
        let mut smaller = false;
        let mut i = cur.len();
        while i > 0 {
            i -= 1;
            let mut t = cur.clone();
            t.remove(i);
            if class(&bad(&t)) == want {
                cur = t;
                smaller = true;
            }
        }
        if !smaller {
            break;
        }
    }
    println!("--- shrunk");
    for x in &cur {
        println!("{x:?}");
    }
    println!("{:?}", bad(&cur));
    if std::env::var("LOUD").is_ok() {
        let mut w = fuzz_world(a[0]);
        w.run(2000);
        w.loud = true;
        for x in &cur {
            println!("== {} {x:?}", w.now());
            x.carry_out(&mut w);
            let v = check(&w);
            if !v.is_empty() {
                println!("VIOLATION {v:?}");
                break;
            }
        }
        w.loud = false;
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
        w.loud = true;
        for m in ["a0", "a1", "a2", "once", "b0", "b1", "a0-x", "b0-x"] {
            println!("== {} rest {m}", w.now());
            let id = w.request(0, m, None, None);
            w.run(25_000);
            println!("== {:?}", id.and_then(|id| w.callers.get(&id)).map(|c| c.ended));
        }
    }
}
