//! Compares a report with the expectations of its script.

use super::results::{peak, DrainResult, UnmetExpectation};
use super::Report;
use crate::counters::{Bucket, BUCKET_US};
use crate::script::{Expectations, LinkLimit};

/// The shortest period for a mean rate, in seconds; avoids a division by 0 where a limit starts at the end of
/// the test.
const MIN_RATE_PERIOD_S: f64 = 0.1;

impl Report {
    pub(super) fn check(&self, expectations: &Expectations) -> Vec<UnmetExpectation> {
        let mut unmet: Vec<UnmetExpectation> = self.crashed.iter().map(|name| crash(name)).collect();
        if let Some(within_s) = expectations.listed_within_s {
            unmet.extend(self.check_lists(within_s));
        }
        if let Some(within_ms) = expectations.drains_within_ms {
            unmet.extend(self.drains.iter().filter_map(|drain| check_drain(drain, within_ms)));
        }
        unmet.extend(expectations.peak_requests.iter().filter_map(|limit| self.check_requests(limit)));
        unmet.extend(expectations.peak_connections.iter().filter_map(|limit| self.check_connections(limit)));
        unmet.extend(expectations.mean_request_rates.iter().filter_map(|limit| self.check_rate(limit)));
        unmet
    }

    fn check_lists(&self, within_s: f64) -> Option<UnmetExpectation> {
        let late = self.listed_after_ms().into_iter().filter(|after_ms| *after_ms > within_s * 1e3).count();
        let runs = self.routers.len();
        (late > 0 || runs == 0).then(|| UnmetExpectation {
            expected: format!("each router receives its first list within {within_s} s"),
            observed: format!("{late} of {runs} router runs do not"),
        })
    }

    fn check_requests(&self, LinkLimit { link, limit, from_s }: &LinkLimit) -> Option<UnmetExpectation> {
        let observed = peak(&self.buckets_from(link, *from_s), Bucket::total_requests);
        (observed as f64 > *limit).then(|| UnmetExpectation {
            expected: format!("at most {limit} requests on {link} in any 200 ms"),
            observed: format!("{observed} requests"),
        })
    }

    fn check_connections(&self, LinkLimit { link, limit, from_s }: &LinkLimit) -> Option<UnmetExpectation> {
        let observed = peak(&self.buckets_from(link, *from_s), |bucket| bucket.connections);
        (observed as f64 > *limit).then(|| UnmetExpectation {
            expected: format!("at most {limit} new connections on {link} in any 200 ms"),
            observed: format!("{observed} connections"),
        })
    }

    fn check_rate(&self, LinkLimit { link, limit, from_s }: &LinkLimit) -> Option<UnmetExpectation> {
        let requests: u64 = self.buckets_from(link, *from_s).iter().map(Bucket::total_requests).sum();
        let rate = requests as f64 / (self.seconds - from_s).max(MIN_RATE_PERIOD_S);
        (rate > *limit).then(|| UnmetExpectation {
            expected: format!("at most {limit} requests per second on {link}"),
            observed: format!("{rate:.1} requests per second"),
        })
    }

    /// The buckets of a link that end after `from_s`, in seconds of the test.
    fn buckets_from(&self, link: &str, from_s: f64) -> Vec<Bucket> {
        let from_us = self.start_us + (from_s * 1e6) as i64;
        let buckets = self.links.get(link).map_or(&[][..], |traffic| &traffic.buckets);
        buckets.iter().filter(|bucket| bucket.at_us + BUCKET_US > from_us).cloned().collect()
    }
}

fn crash(name: &str) -> UnmetExpectation {
    UnmetExpectation {
        expected: "every process runs until the test stops it".into(),
        observed: format!("{name} exited unexpectedly"),
    }
}

fn check_drain(drain: &DrainResult, within_ms: f64) -> Option<UnmetExpectation> {
    let routers = drain.learned_after_ms.len();
    let late = drain.learned_after_ms.iter().filter(|after_ms| **after_ms > within_ms).count();
    let observed = if drain.succeeded_us.is_none() {
        "the drain command failed".to_string()
    } else if late > 0 || routers == 0 {
        format!("{late} of {routers} available routers learn of it later or never")
    } else {
        return None;
    };
    let expected =
        format!("the drain of {} reaches each available router within {within_ms} ms", drain.worker);
    Some(UnmetExpectation { expected, observed })
}
