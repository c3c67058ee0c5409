use super::*;
use std::collections::BTreeSet;

#[test]
fn ranges_behave_as_sets_of_numbers() {
    // Compares `Ranges` with `BTreeSet` for every pair of subsets of seven numbers.
    let set = |bits: u32| (0..7).filter(|n| bits & (1 << n) != 0).collect::<BTreeSet<u32>>();
    for x in 0..128u32 {
        for y in 0..128u32 {
            let (a, b) = (set(x), set(y));
            let (ra, rb) =
                (Ranges::from_ascending(a.iter().copied()), Ranges::from_ascending(b.iter().copied()));
            assert_eq!(ra.union(&rb), Ranges::from_ascending(set(x | y)));
            assert_eq!(ra.difference(&rb), Ranges::from_ascending(set(x & !y)));
            let (mut inserted, mut removed) = (ra.clone(), ra.clone());
            b.iter().for_each(|n| inserted.insert(*n));
            b.iter().for_each(|n| removed.remove(*n));
            assert_eq!((inserted, removed), (ra.union(&rb), ra.difference(&rb)));
            let bridged = ra.bridge_gaps(&rb);
            assert_eq!(bridged.difference(&rb), ra.difference(&rb));
            assert!(ra.difference(&bridged).is_empty() && bridged.bounds().len() <= ra.bounds().len());
        }
        let r = Ranges::from_ascending(set(x));
        assert_eq!(Ranges::from_bounds(r.bounds().iter().rev().copied().collect()), r);
        let chunks = r.chunks(8);
        assert!(chunks.iter().all(|c| c.bounds().len() <= 2));
        assert_eq!(chunks.iter().fold(Ranges::default(), |all, c| all.union(c)), r);
        assert_eq!(r.len() as usize, set(x).len());
        assert_eq!(r.first(), set(x).first().copied());
        assert_eq!(r.last(), set(x).last().copied());
        let own = set(x);
        let from = own.range(3..).chain(own.range(..3)).take(3).copied().collect::<BTreeSet<u32>>();
        assert_eq!(r.first_n_from(3, 3), Ranges::from_ascending(from));
        assert_eq!(r.first_n(2).iter().collect::<Vec<_>>(), set(x).into_iter().take(2).collect::<Vec<_>>());
        assert!((0..7).all(|n| r.contains(n) == set(x).contains(&n)));
    }
}
