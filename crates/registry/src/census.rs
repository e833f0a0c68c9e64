//! How many routers there are, from how many the registry lists. A decision module; the gateway's shell calls it.
//!
//! The number divides what one router may do to a cold worker. Believed too large, cold workers warm a little more slowly;
//! too small, all routers together push one over. So a rise counts at once and a fall slowly: a registry that is cut
//! off from half the routers, or loses their leases at once, must not make the other half believe that it is alone.

/// Limits of a [`RouterCount`]. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCountSettings {
    /// Routers that there are at least, whatever the registry lists.
    pub least: usize,
    /// A fall is believed after it held for so long without a break, and then once more after each such time.
    pub hold_us: i64,
    /// The most that one step down takes, as one part in so many, and at least one router.
    pub step: usize,
}

impl Default for RouterCountSettings {
    fn default() -> Self {
        RouterCountSettings { least: 1, hold_us: 30_000_000, step: 4 }
    }
}

/// See the module's documentation.
#[derive(Debug)]
pub struct RouterCount {
    settings: RouterCountSettings,
    believed: usize,
    /// Since when fewer are listed than believed.
    fewer_since_us: Option<i64>,
}

impl RouterCount {
    /// So many routers are believed in before anything is heard.
    pub fn new(settings: RouterCountSettings, believed: usize) -> Self {
        let believed = believed.max(settings.least).max(1);
        RouterCount { settings, believed, fewer_since_us: None }
    }

    /// The number of routers.
    pub fn routers(&self) -> usize {
        self.believed
    }

    /// So many are listed; `current` tells whether that view can be trusted to be of now. Gives the number where it
    /// changed. To be called at each change and from time to time.
    pub fn listed(&mut self, now_us: i64, count: usize, current: bool) -> Option<usize> {
        let count = count.max(self.settings.least).max(1);
        if count >= self.believed {
            self.fewer_since_us = None;
            let rose = count > self.believed;
            self.believed = count;
            return rose.then_some(count);
        }
        if !current {
            // What an old view says of fewer routers says nothing.
            self.fewer_since_us = None;
            return None;
        }
        let since = *self.fewer_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since) < self.settings.hold_us {
            return None;
        }
        let step = (self.believed / self.settings.step.max(1)).max(1);
        self.believed = self.believed.saturating_sub(step).max(count);
        self.fewer_since_us = Some(now_us);
        Some(self.believed)
    }

    /// When a step down may come by itself.
    pub fn due_us(&self) -> Option<i64> {
        self.fewer_since_us.map(|at| at.saturating_add(self.settings.hold_us))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn census() -> RouterCount {
        RouterCount::new(RouterCountSettings { least: 1, hold_us: 100, step: 4 }, 1)
    }

    #[test]
    fn a_rise_counts_at_once_and_a_fall_in_steps_that_each_must_hold() {
        let mut c = census();
        assert_eq!(c.listed(0, 16, true), Some(16));
        assert_eq!(c.listed(1, 2, true), None);
        assert_eq!(c.listed(99, 2, true), None);
        assert_eq!(c.listed(101, 2, true), Some(12));
        assert_eq!(c.listed(150, 2, true), None);
        assert_eq!(c.listed(201, 2, true), Some(9));
        // Back in between: the fall begins anew.
        assert_eq!(c.listed(290, 9, true), None);
        assert_eq!(c.listed(295, 2, true), None);
        assert_eq!(c.listed(350, 2, true), None);
    }

    #[test]
    fn an_old_view_makes_nobody_believe_that_it_is_alone() {
        let mut c = census();
        c.listed(0, 8, true);
        assert!((1..1_000).all(|t| c.listed(t, 1, false).is_none()));
        assert_eq!(c.routers(), 8);
    }

    proptest! {
        #[test]
        fn the_number_is_never_below_what_is_listed_and_falls_no_faster_than_stated(
            steps in prop::collection::vec((0i64..60, 0usize..40, any::<bool>()), 1..200),
        ) {
            let (mut c, mut now, mut last_fall) = (census(), 0, i64::MIN / 2);
            for (later, count, current) in steps {
                now += later;
                let before = c.routers();
                c.listed(now, count, current);
                prop_assert!(c.routers() >= count.max(1));
                if c.routers() < before {
                    prop_assert!(current && now - last_fall >= 100);
                    prop_assert!(before - c.routers() <= (before / 4).max(1));
                    last_fall = now;
                }
            }
        }
    }
}
