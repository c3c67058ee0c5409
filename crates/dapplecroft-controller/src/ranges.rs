//! Sets of task indices, kept as sorted ranges. Jobs have up to 100,000 tasks, and
//! consecutive tasks are mostly in the same state, so that a set has few ranges.

/// A set of numbers as sorted inclusive ranges that neither overlap nor adjoin.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Returns the set of all numbers below `end`.
    pub fn below(end: u32) -> Ranges {
        Ranges(if end == 0 { Vec::new() } else { vec![(0, end - 1)] })
    }

    /// Returns the set of `numbers`, which must be in ascending order.
    pub fn from_ascending(numbers: impl IntoIterator<Item = u32>) -> Ranges {
        let mut set: Vec<(u32, u32)> = Vec::new();
        for n in numbers {
            match set.last_mut() {
                Some((_, last)) if *last + 1 >= n => *last = n.max(*last),
                _ => set.push((n, n)),
            }
        }
        Ranges(set)
    }

    /// Returns the set of all numbers within inclusive bounds, which may be in any order
    /// and may overlap. Pairs whose first number is the larger one are ignored.
    pub fn from_bounds(bounds: Vec<(u32, u32)>) -> Ranges {
        Ranges::default().union(&Ranges(bounds.into_iter().filter(|(a, b)| a <= b).collect()))
    }

    /// Returns the set with those gaps between its ranges filled that lie entirely within
    /// `fillers`. The result has fewer ranges; use it where numbers in `fillers` may be
    /// contained or not.
    pub fn bridge_gaps(&self, fillers: &Ranges) -> Ranges {
        let mut set: Vec<(u32, u32)> = Vec::with_capacity(self.0.len());
        for &(a, b) in &self.0 {
            match set.last_mut() {
                Some((_, last)) if fillers.contains_all(*last + 1, a - 1) => *last = b,
                _ => set.push((a, b)),
            }
        }
        Ranges(set)
    }

    /// Whether the set contains all numbers from `first` to `last`, inclusive.
    pub fn contains_all(&self, first: u32, last: u32) -> bool {
        let i = self.0.partition_point(|&(_, end)| end < first);
        self.0.get(i).is_some_and(|&(a, b)| a <= first && last <= b)
    }

    /// Splits the set into parts that take at most `max_bytes` bytes each in text form.
    pub fn chunks(&self, max_bytes: usize) -> Vec<Ranges> {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let mut parts: Vec<Vec<(u32, u32)>> = Vec::new();
        let mut size = max_bytes;
        for &(a, b) in &self.0 {
            let range_bytes = digits(a) + digits(b) + 2;
            if size + range_bytes > max_bytes {
                parts.push(Vec::new());
                size = 0;
            }
            size += range_bytes;
            if let Some(part) = parts.last_mut() {
                part.push((a, b));
            }
        }
        parts.into_iter().map(Ranges).collect()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of numbers in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a + 1).sum()
    }

    /// Returns up to `count` numbers: the smallest ones that are at least `start` and, if
    /// there are too few of these, the smallest others.
    pub fn first_n_from(&self, start: u32, count: u32) -> Ranges {
        let taken = self.difference(&Ranges::below(start)).first_n(count);
        let rest = self.difference(&taken).first_n(count - taken.len());
        taken.union(&rest)
    }

    /// Returns the largest number.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|(_, b)| *b)
    }

    /// Returns the smallest number.
    pub fn first(&self) -> Option<u32> {
        self.0.first().map(|(a, _)| *a)
    }

    /// Whether the set contains `n`.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < n);
        self.0.get(i).is_some_and(|&(a, _)| a <= n)
    }

    /// Adds `n` to the set.
    pub fn insert(&mut self, n: u32) {
        let i = self.0.partition_point(|&(_, b)| b < n);
        if self.0.get(i).is_some_and(|&(a, _)| a <= n) {
            return;
        }
        let joins_left = i > 0 && self.0[i - 1].1 + 1 == n;
        let joins_right = self.0.get(i).is_some_and(|&(a, _)| a == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[i - 1].1 = self.0[i].1;
                self.0.remove(i);
            }
            (true, false) => self.0[i - 1].1 = n,
            (false, true) => self.0[i].0 = n,
            (false, false) => self.0.insert(i, (n, n)),
        }
    }

    /// Removes `n` from the set.
    pub fn remove(&mut self, n: u32) {
        let i = self.0.partition_point(|&(_, b)| b < n);
        let Some(&(a, b)) = self.0.get(i).filter(|&&(a, _)| a <= n) else { return };
        match (a == n, b == n) {
            (true, true) => {
                self.0.remove(i);
            }
            (true, false) => self.0[i].0 = n + 1,
            (false, true) => self.0[i].1 = n - 1,
            (false, false) => {
                self.0[i].1 = n - 1;
                self.0.insert(i + 1, (n + 1, b));
            }
        }
    }

    /// Returns the set of all numbers that are in `self` or `other`.
    pub fn union(&self, other: &Ranges) -> Ranges {
        let mut all: Vec<(u32, u32)> = self.0.iter().chain(&other.0).copied().collect();
        all.sort_unstable();
        let mut set: Vec<(u32, u32)> = Vec::with_capacity(all.len());
        for (a, b) in all {
            match set.last_mut() {
                Some((_, last)) if last.saturating_add(1) >= a => *last = (*last).max(b),
                _ => set.push((a, b)),
            }
        }
        Ranges(set)
    }

    /// Returns the set of all numbers that are in `self` but not in `other`.
    pub fn difference(&self, other: &Ranges) -> Ranges {
        if other.is_empty() {
            return self.clone();
        }
        let mut set = Vec::with_capacity(self.0.len());
        let mut removed = other.0.iter().peekable();
        for &(mut a, b) in &self.0 {
            while removed.next_if(|(_, end)| *end < a).is_some() {}
            let mut ahead = removed.clone();
            let mut has_rest = true;
            while let Some(&&(x, y)) = ahead.peek().filter(|(x, _)| *x <= b) {
                if x > a {
                    set.push((a, x - 1));
                }
                if y >= b {
                    has_rest = false;
                    break;
                }
                a = a.max(y + 1);
                ahead.next();
            }
            if has_rest {
                set.push((a, b));
            }
        }
        Ranges(set)
    }

    /// Returns the smallest `n` numbers.
    pub fn first_n(&self, mut n: u32) -> Ranges {
        let mut set = Vec::new();
        for &(a, b) in &self.0 {
            if n == 0 {
                break;
            }
            let take = n.min(b - a + 1);
            set.push((a, a + take - 1));
            n -= take;
        }
        Ranges(set)
    }

    /// Returns the inclusive bounds of the ranges, in ascending order.
    pub fn bounds(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// Iterates over the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..=b)
    }
}

#[cfg(test)]
mod tests;
