//! When a router looks whether a change that somebody else began still waits for a driver.
//!
//! It guards the registry against routers that drive all at once: together they look some times a second, however many they are.
//! Whoever began the change has a head start. Asked by a router's shell; what is read is judged by [`crate::RolloutCoordinator`].

/// All routers together look so often, in microseconds between two looks.
const TOGETHER_US: i64 = 200_000;
/// Routers that are reckoned with before the first look has counted them.
const FIRST_GUESS: i64 = 50;

/// See the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverTimer {
    random: u64,
    /// The step that is prepared, and when the next look is due.
    open: Option<(u64, i64)>,
}

impl TakeoverTimer {
    /// One whose times follow from a seed of its own.
    pub fn new(seed: u64) -> Self {
        TakeoverTimer { random: seed, open: None }
    }

    /// A part of a span, drawn evenly (splitmix64).
    fn draw(&mut self, span_us: i64) -> i64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        ((u128::from(mixed) * u128::from(span_us.max(1).unsigned_abs())) >> 64) as i64
    }

    /// A state was heard: its step where a change is prepared. `head_start_us` is left to whoever began it.
    pub fn heard(&mut self, now_us: i64, prepared: Option<u64>, head_start_us: i64) {
        match (prepared, self.open) {
            (None, _) => self.open = None,
            (Some(step), Some((known, _))) if step == known => {}
            (Some(step), _) => {
                let wait = self.draw(TOGETHER_US * FIRST_GUESS);
                self.open = Some((step, now_us + head_start_us + wait));
            }
        }
    }

    /// When a look is due, while a change is prepared.
    pub fn due_us(&self) -> Option<i64> {
        self.open.map(|(_, at)| at)
    }

    /// Looked, and so many routers have rights.
    pub fn looked(&mut self, now_us: i64, routers: usize) {
        let span =
            TOGETHER_US.saturating_mul(i64::try_from(routers.max(1)).unwrap_or(i64::MAX / TOGETHER_US));
        let wait = span / 2 + self.draw(span);
        if let Some((_, at)) = &mut self.open {
            *at = now_us.saturating_add(wait);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_routers_look_as_often_together_as_few_and_none_within_the_head_start() {
        for routers in [5, 50, 400] {
            let mut all: Vec<TakeoverTimer> =
                (0..routers).map(|n| TakeoverTimer::new(n as u64 * 7_919)).collect();
            all.iter_mut().for_each(|p| p.heard(0, Some(3), 2_000_000));
            assert!(all.iter().all(|p| p.due_us().is_some_and(|at| at >= 2_000_000)));
            let mut looks = 0;
            // The second minute, when all have looked once.
            for now in (0..120_000_000).step_by(10_000) {
                for patrol in all.iter_mut().filter(|p| p.due_us().is_some_and(|at| at <= now)) {
                    patrol.looked(now, routers);
                    looks += usize::from(now >= 60_000_000);
                }
            }
            assert!((210..400).contains(&looks), "{routers} routers looked {looks} times in a minute");
        }
    }

    #[test]
    fn nobody_looks_where_nothing_is_prepared_and_hearing_twice_changes_nothing() {
        let mut patrol = TakeoverTimer::new(1);
        patrol.heard(0, Some(1), 0);
        let due = patrol.due_us();
        patrol.heard(5, Some(1), 0);
        assert_eq!(patrol.due_us(), due);
        patrol.heard(9, None, 0);
        patrol.looked(9, 3);
        assert_eq!(patrol.due_us(), None);
    }
}
