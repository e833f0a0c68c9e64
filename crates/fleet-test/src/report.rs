//! What came of a rehearsal: figures of each link, of the routers, and the expectations that were not met.

use crate::script::{Expectations, Script};
use crate::tally::{Bucket, BUCKET_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Buckets of the time in which bursts are counted: 200 ms.
const BURST: usize = 2;

/// One life of a router, as its log tells it; times in microseconds of the Unix clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Router {
    /// Its name.
    pub name: String,
    /// When its process was started.
    pub started_us: i64,
    /// When it was ended.
    pub ended_us: i64,
    /// Whether the script ended it.
    pub killed: bool,
    /// When it held a list of any kind, the one from its disk included.
    pub first_list_us: Option<i64>,
    /// When it held the registry's list first.
    pub listed_us: Option<i64>,
    /// Each time at which it took a whole list.
    pub lists_us: Vec<i64>,
    /// Drains that it heard of, and when.
    pub drains: Vec<(String, i64)>,
    /// Times at which it stood still.
    pub pauses: Vec<(i64, i64)>,
}

impl Router {
    /// When it knew that a worker drains: it was told, or took a list after the drain.
    fn heard(&self, worker: &str, drained_us: i64) -> Option<i64> {
        let told = self.drains.iter().filter(|(w, _)| w == worker).map(|d| d.1);
        told.chain(self.lists_us.iter().copied()).filter(|at| *at >= drained_us - 50_000).min()
    }

    /// Whether it ran, held a list and did not stand still from a time on for so long.
    fn could_hear(&self, from_us: i64, for_us: i64) -> bool {
        let until = from_us.saturating_add(for_us);
        self.listed_us.is_some_and(|at| at <= from_us)
            && self.ended_us >= until
            && !self.pauses.iter().any(|(a, b)| *a < until && *b > from_us)
    }
}

/// What passed a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinkFigures {
    /// Connections, requests and bytes of all the time.
    pub connections: u64,
    /// Requests, by the last word of their path.
    pub requests: BTreeMap<String, u64>,
    /// Bytes either way.
    pub bytes: u64,
    /// The most in 200 ms: connections, requests, bytes.
    pub most: (u64, u64, u64),
    /// By tenths of a second.
    pub buckets: Vec<Bucket>,
}

/// An expectation that was not met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Which.
    pub expected: String,
    /// What was seen.
    pub seen: String,
}

/// What came of a rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The script's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// When second 0 was.
    pub start_us: i64,
    /// Its length in seconds.
    pub seconds: f64,
    /// What passed, by link.
    pub links: BTreeMap<String, LinkFigures>,
    /// Each life of each router.
    pub routers: Vec<Router>,
    /// Drains: the worker, when it was told, and after how many milliseconds each router that could hear knew of it.
    pub drains: Vec<(String, Option<i64>, Vec<f64>)>,
    /// Processes that ended by themselves.
    pub crashed: Vec<String>,
    /// Expectations that were not met.
    pub findings: Vec<Finding>,
}

/// The largest sum over so many buckets in a row, gaps counted as empty.
fn most(buckets: &[Bucket], count: impl Fn(&Bucket) -> u64) -> u64 {
    let span = BURST as i64 * BUCKET_US;
    let sum = |first: &Bucket| {
        let within = buckets.iter().filter(|b| (first.at_us..first.at_us + span).contains(&b.at_us));
        within.map(&count).sum()
    };
    buckets.iter().map(sum).max().unwrap_or(0)
}

impl LinkFigures {
    fn new(buckets: Vec<Bucket>) -> Self {
        let mut requests = BTreeMap::new();
        for (path, count) in buckets.iter().flat_map(|b| &b.requests) {
            *requests.entry(path.clone()).or_default() += count;
        }
        let bytes = |b: &Bucket| b.bytes_to + b.bytes_from;
        LinkFigures {
            connections: buckets.iter().map(|b| b.connections).sum(),
            requests,
            bytes: buckets.iter().map(bytes).sum(),
            most: (
                most(&buckets, |b| b.connections),
                most(&buckets, Bucket::all_requests),
                most(&buckets, bytes),
            ),
            buckets,
        }
    }
}

/// The value below which a part of the values lies; none of none.
pub(crate) fn quantile(values: &[f64], part: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.saturating_sub(1).min(sorted.len().checked_sub(1)?)).copied()
}

impl Report {
    /// Makes a report of what was seen.
    pub(crate) fn new(
        script: &Script,
        seed: u64,
        start_us: i64,
        routers: Vec<Router>,
        tallies: BTreeMap<String, Vec<Bucket>>,
        drained: &[(String, Option<i64>)],
        crashed: Vec<String>,
    ) -> Self {
        let bound_us = (script.expect.drains_within_ms.unwrap_or(0.0) * 1e3) as i64;
        let drains = drained.iter().map(|(worker, told)| {
            let Some(told) = *told else { return (worker.clone(), None, Vec::new()) };
            let able = routers.iter().filter(|r| r.could_hear(told, bound_us));
            let after =
                |r: &Router| r.heard(worker, told).map_or(f64::INFINITY, |at| (at - told) as f64 / 1e3);
            (worker.clone(), Some(told), able.map(after).collect())
        });
        let mut report = Report {
            name: script.name.clone(),
            seed,
            start_us,
            seconds: script.seconds,
            links: tallies.into_iter().map(|(name, buckets)| (name, LinkFigures::new(buckets))).collect(),
            drains: drains.collect(),
            routers,
            crashed,
            findings: Vec::new(),
        };
        report.findings = report.check(&script.expect);
        report
    }

    /// Whether all that was expected came.
    pub fn is_good(&self) -> bool {
        self.findings.is_empty()
    }

    /// Milliseconds from the start of each life to the registry's list; endless where it never came.
    pub fn listed_after_ms(&self) -> Vec<f64> {
        let lives = self.routers.iter().filter(|r| !r.killed || r.listed_us.is_some());
        lives.map(|r| r.listed_us.map_or(f64::INFINITY, |at| (at - r.started_us) as f64 / 1e3)).collect()
    }

    fn check(&self, expect: &Expectations) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut find = |expected: String, seen: String| findings.push(Finding { expected, seen });
        for name in &self.crashed {
            find("every process runs until it is ended".into(), format!("{name} ended by itself"));
        }
        if let Some(within) = expect.listed_within_s {
            let late = self.listed_after_ms().into_iter().filter(|ms| *ms > within * 1e3).count();
            if late > 0 || self.routers.is_empty() {
                let of = self.routers.len();
                find(format!("each router lists within {within} s"), format!("{late} of {of} lives do not"));
            }
        }
        if let Some(within) = expect.drains_within_ms {
            for (worker, told, heard) in &self.drains {
                let late = heard.iter().filter(|ms| **ms > within).count();
                let expected = format!("the drain of {worker} is heard within {within} ms");
                if told.is_none() {
                    find(expected, "the operator's command failed".into());
                } else if late > 0 || heard.is_empty() {
                    find(expected, format!("{late} of {} routers hear it later or never", heard.len()));
                }
            }
        }
        let later = |link: &String, from: f64| -> Vec<Bucket> {
            let from_us = self.start_us + (from * 1e6) as i64;
            let buckets = self.links.get(link).map_or(&[][..], |l| &l.buckets);
            buckets.iter().filter(|b| b.at_us + BUCKET_US > from_us).cloned().collect()
        };
        for (link, limit, from) in &expect.requests {
            let seen = most(&later(link, *from), Bucket::all_requests);
            if seen as f64 > *limit {
                find(format!("at most {limit} requests pass {link} in 200 ms"), format!("{seen} do"));
            }
        }
        for (link, limit, from) in &expect.connections {
            let seen = most(&later(link, *from), |b| b.connections);
            if seen as f64 > *limit {
                find(
                    format!("at most {limit} connections are made on {link} in 200 ms"),
                    format!("{seen} are"),
                );
            }
        }
        for (link, limit, from) in &expect.steady {
            let all: u64 = later(link, *from).iter().map(Bucket::all_requests).sum();
            let rate = all as f64 / (self.seconds - from).max(0.1);
            if rate > *limit {
                find(format!("at most {limit} requests a second pass {link}"), format!("{rate:.1} do"));
            }
        }
        findings
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}: {} lives of routers, {} s",
            self.name,
            self.seed,
            self.routers.len(),
            self.seconds
        )?;
        let listed = self.listed_after_ms();
        if let [Some(half), Some(most), Some(all)] = [0.5, 0.99, 1.0].map(|p| quantile(&listed, p)) {
            writeln!(f, "  list held after {half:.0} ms by half, {most:.0} by 99%, {all:.0} by all")?;
        }
        for (name, link) in &self.links {
            let (connections, requests, bytes) = link.most;
            let all: u64 = link.requests.values().sum();
            writeln!(
                f,
                "  {name}: {} connections, {all} requests {:?}, {} kB; most in 200 ms: {connections}, {requests}, {} kB",
                link.connections,
                link.requests,
                link.bytes / 1_000,
                bytes / 1_000
            )?;
        }
        for (worker, told, heard) in &self.drains {
            match (told, quantile(heard, 0.5), quantile(heard, 1.0)) {
                (Some(_), Some(half), Some(all)) => writeln!(
                    f,
                    "  drain of {worker}: heard by {} routers, half within {half:.1} ms, all within {all:.1}",
                    heard.len()
                )?,
                _ => writeln!(f, "  drain of {worker}: not told, or nobody could hear it")?,
            }
        }
        for finding in &self.findings {
            writeln!(f, "  NOT MET: {}: {}", finding.expected, finding.seen)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SCRIPT: &str = r#"
(name "t") (seconds 4)
(registry "kv")
(link "net" (to "kv"))
(routers "r" (count 2) (by "net"))
(expect (listed-within-s 1) (drains-within-ms 250) (requests-in-200ms "net" (most 10))
  (connections-in-200ms "net" (most 5)) (steady-requests-per-second "net" (from-s 2) (most 3)))
"#;

    fn router(name: &str, listed_us: i64, drain_us: i64) -> Router {
        Router {
            name: name.into(),
            ended_us: 4_000_000,
            listed_us: Some(listed_us),
            drains: vec![("w".into(), drain_us)],
            ..Router::default()
        }
    }

    fn bucket(at_us: i64, connections: u64, requests: u64) -> Bucket {
        Bucket { at_us, connections, requests: [("range".to_string(), requests)].into(), ..Bucket::default() }
    }

    fn report(routers: Vec<Router>, buckets: Vec<Bucket>, crashed: Vec<String>) -> Report {
        let script = Script::parse("t", SCRIPT).unwrap();
        let tallies = [("net".to_string(), buckets)].into();
        Report::new(&script, 1, 0, routers, tallies, &[("w".into(), Some(2_000_000))], crashed)
    }

    #[test]
    fn what_keeps_every_bound_is_good() {
        let routers = vec![router("r-0", 900_000, 2_200_000), router("r-1", 10, 2_000_001)];
        let report =
            report(routers, vec![bucket(0, 3, 5), bucket(100_000, 2, 5), bucket(200_000, 2, 5)], vec![]);
        assert_eq!(report.findings, []);
        assert_eq!(report.links["net"].most.1, 10);
    }

    #[test]
    fn each_bound_that_is_broken_is_found_by_itself() {
        let good = || vec![router("r-0", 900_000, 2_200_000)];
        let found = |r: Report| r.findings.iter().map(|f| f.expected.clone()).collect::<Vec<_>>();
        let late = found(report(vec![router("r-0", 1_100_000, 2_200_000)], vec![], vec![]));
        assert!(late.len() == 1 && late[0].contains("lists within"), "{late:?}");
        let deaf = found(report(vec![router("r-0", 900_000, 2_300_000)], vec![], vec![]));
        assert!(deaf.len() == 1 && deaf[0].contains("drain of w"), "{deaf:?}");
        let herd = found(report(good(), vec![bucket(0, 1, 6), bucket(100_000, 1, 5)], vec![]));
        assert!(herd.len() == 1 && herd[0].contains("requests pass net in"), "{herd:?}");
        let knocks = found(report(good(), vec![bucket(0, 6, 0)], vec![]));
        assert!(knocks.len() == 1 && knocks[0].contains("connections"), "{knocks:?}");
        let busy = found(report(good(), (20..40).map(|n| bucket(n * 100_000, 0, 4)).collect(), vec![]));
        assert!(busy.len() == 1 && busy[0].contains("a second"), "{busy:?}");
        let crash = found(report(good(), vec![], vec!["r-0".into()]));
        assert!(crash.len() == 1 && crash[0].contains("runs until"), "{crash:?}");
    }

    #[test]
    fn a_router_that_stood_still_or_came_later_owes_no_drain() {
        let mut paused = router("r-0", 900_000, 3_900_000);
        paused.pauses = vec![(1_900_000, 3_000_000)];
        let report = report(vec![paused, router("r-1", 10, 2_000_001)], vec![], vec![]);
        assert_eq!(report.drains[0].2.len(), 1);
        assert!(report.is_good());
    }
}
