//! How a large text reaches entries whose links are slow.

use citronrill_platform_standin::Harm;

use crate::support::{Deployment, Process, large_text, until};

/// Routes that make a text of about half a megabyte.
const MANY: usize = 2_000;
/// How the store spells a text, in thirds of its size.
const SPELLED_THIRDS: u64 = 4;

fn in_force(entry: &Process, version: u64) -> bool {
    entry.logged(&["event=text ", &format!("version={version} ")])
}

/// Waits until the entry serves and is connected to this many sides.
fn settle(pool: &Deployment, entry: &Process) {
    until("the first text is in force", || in_force(entry, 1));
    let connected = |side: &Process| side.logged(&["event=entry_connected", "entries=2"]);
    until("the sides are connected", || pool.sides.iter().all(connected));
}

/// Operators add 1,400 routes, and minutes later callers of an added route are still told that it does
/// not exist, at some entries only: those with links of 10 Mbit/s, which need 0.9 s for the text.
/// A side took an entry that had not told of the text after 0.4 s for one that is cut off from the
/// store, and sent it a copy; all 55 did so at once. In two seconds they began 1,221 copies, 672 MB, and
/// finished none (`event=entry_lost` for each): the entry's own read of the store was behind them, ran
/// into its limit of 3 s and began anew. What settled it: `event=text_sending` on the sides, by the
/// hundred, without one `event=text_sent`, while entries with links of 200 Mbit/s saw none.
#[test]
fn a_large_text_crosses_a_slow_link_once() {
    let engines = [("e1", &["m0"] as &[_]), ("e2", &["m0"]), ("e3", &["m0"])];
    let more = [("e4", &["m0"] as &[_]), ("e5", &["m0"]), ("e6", &["m0"])];
    let pool = Deployment::start(&[engines, more].concat());
    let slow = pool.entry_behind_link(800_000);
    settle(&pool, &slow.process);
    let before = slow.link.inward();
    let text = large_text(2, MANY);
    let size = text.len() as u64;
    pool.store.put("op", "config", Some(text));
    until("the text is in force", || in_force(&slow.process, 2));
    // The store's spelling, one copy from a side, and a tenth for what else is said.
    let most = size * SPELLED_THIRDS / 3 + size + size / 10;
    let carried = slow.link.inward() - before;
    assert!(carried <= most, "{carried} bytes for a text of {size}");
}

/// The same entry, and a text that takes longer on its way than a read of the store was given: 3 s for
/// a change. Each read was given up before its end and began anew, for good. A read that goes on
/// coming is not given up.
#[test]
fn a_text_that_takes_long_is_read_to_its_end() {
    let pool = Deployment::start(&[("e1", &["m0"])]);
    let slow = pool.entry_behind_link(150_000);
    settle(&pool, &slow.process);
    pool.store.put("op", "config", Some(large_text(2, MANY)));
    until("the text is in force", || in_force(&slow.process, 2));
}

/// The store is silent towards one entry, whose connections hang, and a large text is written. The entry
/// gets it from one side, in pieces, long before it gives the store's connection up.
#[test]
fn an_entry_cut_off_from_the_store_asks_a_side() {
    let pool = Deployment::start(&[("e1", &["m0"]), ("e2", &["m0"])]);
    let (cut, path) = pool.entry_behind_proxy();
    settle(&pool, &cut);
    path.set(Harm::Silent);
    pool.store.put("op", "config", Some(large_text(2, MANY)));
    until("the text is in force", || in_force(&cut, 2));
    assert!(cut.logged(&["event=text_copied", "version=2"]));
    let sent = |side: &&Process| side.logged(&["event=text_sent", "version=2"]);
    assert_eq!(pool.sides.iter().filter(sent).count(), 1);
}
