//! Tests of the exchange of the listing of endpoints between hosts.

use std::time::Duration;

use host::listing::{Change, Listing, fingerprint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::endpoint::{Entry, State};

fn entry(nr: u32) -> Entry {
    Entry {
        id: format!("i-{nr:010x}").as_str().into(),
        incarnation: None,
        service: "huvo11a".into(),
        address: "10.1.64.26:8301".parse().unwrap(),
        data_centre: "kariakoo".into(),
        release: "v1".into(),
        slots: 12,
        state: State::Ready,
        cold: Duration::ZERO,
    }
}

/// Adds, removes and drains endpoints at random, or changes their cold start.
fn change_some(rng: &mut Pcg32, entries: &mut Vec<Entry>, changes: usize, last_id: &mut u32) {
    for _ in 0..changes {
        let place = rng.random_range(0..entries.len());
        match rng.random_range(0..4) {
            0 => {
                *last_id += 1;
                entries.push(entry(*last_id));
            }
            1 => drop(entries.swap_remove(place)),
            2 => entries[place].state = State::Draining,
            _ => entries[place].cold = Duration::from_millis(rng.random_range(0..3_000)),
        }
    }
}

fn sorted(entries: impl Iterator<Item = Entry>) -> Vec<Entry> {
    let mut entries: Vec<_> = entries.collect();
    entries.sort_by(|a, b| a.id.cmp(&b.id));
    entries
}

/// A host that gets only some of the listings must end up with the reader's listing.
#[test]
fn changes_reproduce_the_listing() {
    for seed in 0..50 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut last_id = 40;
        let mut entries: Vec<_> = (0..last_id).map(entry).collect();
        let (mut reader, mut other) = (Listing::default(), Listing::default());
        let (mut changes, mut whole_listings) = (0, 0);
        for _ in 0..200 {
            let count = rng.random_range(0..4);
            change_some(&mut rng, &mut entries, count, &mut last_id);
            reader.replace(entries.clone());
            if rng.random::<f64>() < 0.6 {
                continue;
            }
            let known = other.fingerprint();
            let change = known.and_then(|it| reader.changes_since(it));
            if change.is_some_and(|it| other.apply(&it)) {
                changes += 1;
            } else if known != reader.fingerprint() {
                other.replace(entries.clone());
                whole_listings += 1;
            }
            assert_eq!(
                other.fingerprint(),
                Some(fingerprint(&entries)),
                "seed {seed}"
            );
            let received = sorted(other.entries().cloned()).into_iter();
            let is_same = |(received, read): (Entry, Entry)| {
                received.state == read.state && received.cold.is_zero() == read.cold.is_zero()
            };
            assert!(
                received.zip(sorted(entries.iter().cloned())).all(is_same),
                "seed {seed}"
            );
        }
        assert!(
            changes > 3 * whole_listings,
            "seed {seed}: {changes} changes, {whole_listings} whole listings"
        );
    }
}

/// Guards against applying a change to another listing than it was made for: removed
/// endpoints would come back, or new ones be missing.
#[test]
fn change_of_another_listing_is_rejected() {
    let mut listing = Listing::default();
    listing.replace(vec![entry(1), entry(2)]);
    let mut other = Listing::default();
    other.replace(vec![entry(1), entry(3)]);
    other.replace(vec![entry(1)]);
    let change = other
        .changes_since(fingerprint(&[entry(1), entry(3)]))
        .unwrap();
    assert!(!listing.apply(&change));
    let wrong = Change {
        from: listing.fingerprint().unwrap(),
        ..change
    };
    assert!(
        !listing.apply(&wrong),
        "the change results in another listing"
    );
    let entries: Vec<_> = listing.entries().cloned().collect();
    assert_eq!(entries, [entry(1), entry(2)]);
    assert_eq!(listing.fingerprint(), Some(fingerprint(&entries)));
}

/// Guards against a whole listing being sent to a host for which no change is kept.
#[test]
fn patch_reproduces_the_listing() {
    for seed in 0..50 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut last_id = rng.random_range(1..400);
        let mut entries: Vec<_> = (0..last_id).map(entry).collect();
        let mut other = Listing::default();
        other.replace(entries.clone());
        let changes = rng.random_range(0..20).min(entries.len() / 2);
        change_some(&mut rng, &mut entries, changes, &mut last_id);
        let mut own = Listing::default();
        own.replace(entries.clone());
        let patch = own.patch(&other.sketch()).unwrap();
        let change = other.change_of(&patch).unwrap();
        assert!(other.apply(&change), "seed {seed}");
        let patched: Vec<_> = other.entries().cloned().collect();
        assert_eq!(fingerprint(&patched), fingerprint(&entries), "seed {seed}");
        assert!(
            patch.entries.len() <= 16 * changes,
            "seed {seed}: {}",
            patch.entries.len()
        );
        // A patch for another listing is rejected, unless it has all entries.
        other.replace(vec![entry(9_999)]);
        assert_eq!(
            other.change_of(&patch).is_some(),
            patch.entries.len() == entries.len()
        );
    }
}

/// Guards against sending the whole listing for each change of an entry.
#[test]
fn change_of_a_large_listing_is_small() {
    /// Limit of the control traffic per host and second, in bytes.
    const MAX_BYTES_PER_SECOND: usize = 7_000;
    let mut rng = Pcg32::seed_from_u64(1);
    let mut last_id = 3_000;
    let mut entries: Vec<_> = (0..last_id).map(entry).collect();
    let mut listing = Listing::default();
    listing.replace(entries.clone());
    let before = listing.fingerprint().unwrap();
    change_some(&mut rng, &mut entries, 30, &mut last_id);
    listing.replace(entries.clone());
    let change = postcard::to_stdvec(&listing.changes_since(before).unwrap()).unwrap();
    let whole = postcard::to_stdvec(&entries).unwrap();
    println!(
        "change: {} bytes, listing: {} bytes",
        change.len(),
        whole.len()
    );
    let mut other = Listing::default();
    change_some(&mut rng, &mut entries, 30, &mut last_id);
    other.replace(entries);
    let sketch = other.sketch();
    let patch = postcard::to_stdvec(&listing.patch(&sketch).unwrap()).unwrap();
    let sketch = postcard::to_stdvec(&sketch).unwrap();
    println!(
        "sketch: {} bytes, patch: {} bytes",
        sketch.len(),
        patch.len()
    );
    assert!(sketch.len() + patch.len() < whole.len() / 10);
    assert!(change.len() < MAX_BYTES_PER_SECOND / 2, "{}", change.len());
}

/// Guards against the hosts of a large deployment falling back to patches or whole listings while
/// many entries change: a host that misses some updates still finds the change that it needs.
#[test]
fn changes_are_kept_in_proportion_to_the_listing() {
    for size in [300, 3_000, 10_000, 20_000] {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut last_id = size;
        let mut entries: Vec<_> = (0..last_id).map(entry).collect();
        let mut listing = Listing::default();
        listing.replace(entries.clone());
        let before = listing.fingerprint().unwrap();
        // Twenty readings, in each of which one entry in 400 changes.
        for _ in 0..20 {
            let count = usize::try_from(size / 400).unwrap().max(1);
            change_some(&mut rng, &mut entries, count, &mut last_id);
            listing.replace(entries.clone());
        }
        assert!(
            listing.changes_since(before).is_some(),
            "{size} endpoints: no change is kept"
        );
    }
}

/// Guards against changes of the listing that every receiver refuses, because the sender counted an
/// endpoint that was both changed and removed twice.
#[test]
fn changes_with_removed_endpoints_reach_another_host() {
    let (mut kept, mut refused) = (Vec::new(), Vec::new());
    for size in [30, 300, 3_000] {
        for seed in 0..20 {
            let mut rng = Pcg32::seed_from_u64(seed);
            let (mut reader, mut other) = (Listing::default(), Listing::default());
            for it in [&mut reader, &mut other] {
                it.replace((0..size).map(entry).collect());
            }
            let before = other.fingerprint().unwrap();
            let mut some = || rng.random_range(0..size);
            let count = usize::try_from(size / 20).unwrap();
            // An endpoint may announce that it leaves, and be removed before the next reading.
            let gone: Vec<_> = (0..count).map(|_| entry(some()).id).collect();
            let mut changed: Vec<_> = (0..count).map(|_| entry(some())).collect();
            for it in &mut changed {
                it.state = State::Draining;
            }
            let change = reader.change_to(changed, gone.clone()).unwrap();
            assert!(reader.apply(&change));
            if !other.apply(&reader.changes_since(before).unwrap()) {
                refused.push((size, seed));
            }
            if reader.entries().any(|it| gone.contains(&it.id)) {
                kept.push((size, seed));
            }
        }
    }
    assert!(kept.is_empty(), "kept: {kept:?}, refused: {refused:?}");
    assert!(refused.is_empty(), "{refused:?}");
}
