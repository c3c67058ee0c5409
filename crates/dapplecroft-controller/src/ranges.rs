//! Sets of whole numbers as sorted ranges: jobs have up to 100,000 tasks, most
//! of them next to each other in whatever state they are.

/// A set of whole numbers as sorted inclusive ranges that don't touch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// All numbers below `end`.
    pub fn below(end: u32) -> Ranges {
        Ranges(if end == 0 { Vec::new() } else { vec![(0, end - 1)] })
    }

    /// A set from numbers in ascending order.
    pub fn from_ascending(numbers: impl IntoIterator<Item = u32>) -> Ranges {
        let mut set: Vec<(u32, u32)> = Vec::new();
        for n in numbers {
            match set.last_mut() {
                Some((_, b)) if *b + 1 >= n => *b = n.max(*b),
                _ => set.push((n, n)),
            }
        }
        Ranges(set)
    }

    /// A set from inclusive bounds in any order.
    pub fn from_bounds(pieces: Vec<(u32, u32)>) -> Ranges {
        Ranges::default().union(&Ranges(pieces.into_iter().filter(|(a, b)| a <= b).collect()))
    }

    /// Joined across gaps that `over` covers whole: fewer pieces, where what is
    /// in `over` may as well be in.
    pub fn bridge_gaps(&self, over: &Ranges) -> Ranges {
        let mut set: Vec<(u32, u32)> = Vec::with_capacity(self.0.len());
        for &(a, b) in &self.0 {
            match set.last_mut() {
                Some((_, last)) if over.contains_all(*last + 1, a - 1) => *last = b,
                _ => set.push((a, b)),
            }
        }
        Ranges(set)
    }

    /// Whether all from `a` to `b` is in it.
    pub fn contains_all(&self, a: u32, b: u32) -> bool {
        let i = self.0.partition_point(|&(_, end)| end < a);
        self.0.get(i).is_some_and(|&(x, y)| x <= a && b <= y)
    }

    /// Cut so that each part takes no more than so many bytes as text.
    pub fn chunks(&self, bytes: usize) -> Vec<Ranges> {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let mut parts: Vec<Vec<(u32, u32)>> = Vec::new();
        let mut size = bytes;
        for &(a, b) in &self.0 {
            let own = digits(a) + digits(b) + 2;
            if size + own > bytes {
                parts.push(Vec::new());
                size = 0;
            }
            size += own;
            if let Some(part) = parts.last_mut() {
                part.push((a, b));
            }
        }
        parts.into_iter().map(Ranges).collect()
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many numbers are in it.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b - a + 1).sum()
    }

    /// Up to `count` numbers, the smallest from `start` on first, then the smallest.
    pub fn first_n_from(&self, start: u32, count: u32) -> Ranges {
        let taken = self.difference(&Ranges::below(start)).first_n(count);
        let rest = self.difference(&taken).first_n(count - taken.len());
        taken.union(&rest)
    }

    /// The largest number.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|(_, b)| *b)
    }

    /// The smallest number.
    pub fn first(&self) -> Option<u32> {
        self.0.first().map(|(a, _)| *a)
    }

    /// Whether `n` is in it.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < n);
        self.0.get(i).is_some_and(|&(a, _)| a <= n)
    }

    /// Adds `n`.
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

    /// Takes `n` out.
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

    /// All numbers in either.
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

    /// All numbers that are not in `other`.
    pub fn difference(&self, other: &Ranges) -> Ranges {
        if other.is_empty() {
            return self.clone();
        }
        let mut set = Vec::with_capacity(self.0.len());
        let mut cuts = other.0.iter().peekable();
        for &(mut a, b) in &self.0 {
            while cuts.next_if(|(_, end)| *end < a).is_some() {}
            let mut ahead = cuts.clone();
            let mut open = true;
            while let Some(&&(x, y)) = ahead.peek().filter(|(x, _)| *x <= b) {
                if x > a {
                    set.push((a, x - 1));
                }
                if y >= b {
                    open = false;
                    break;
                }
                a = a.max(y + 1);
                ahead.next();
            }
            if open {
                set.push((a, b));
            }
        }
        Ranges(set)
    }

    /// The first `n` numbers.
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

    /// The pieces, as inclusive bounds.
    pub fn bounds(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// All numbers in it.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..=b)
    }
}

#[cfg(test)]
mod tests;
