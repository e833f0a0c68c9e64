//! The report as text.

use super::results::{DrainResult, LinkTraffic};
use super::{quantile, Report};
use std::fmt;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { name, seed, seconds, .. } = self;
        writeln!(f, "{name}, seed {seed}: {} router runs, {seconds} s", self.routers.len())?;
        let listed = self.listed_after_ms();
        if let [Some(half), Some(most), Some(all)] = [0.5, 0.99, 1.0].map(|share| quantile(&listed, share)) {
            writeln!(
                f,
                "  first list received after {half:.0} ms by 50%, {most:.0} ms by 99%, {all:.0} ms by all"
            )?;
        }
        for (name, link) in &self.links {
            write_link(f, name, link)?;
        }
        for drain in &self.drains {
            write_drain(f, drain)?;
        }
        for unmet in &self.unmet {
            writeln!(f, "  NOT MET: {}: {}", unmet.expected, unmet.observed)?;
        }
        Ok(())
    }
}

fn write_link(f: &mut fmt::Formatter<'_>, name: &str, link: &LinkTraffic) -> fmt::Result {
    writeln!(
        f,
        "  {name}: {} connections, {} requests {:?}, {} kB; peak in 200 ms: {} connections, {} requests, {} kB",
        link.connections,
        link.total_requests(),
        link.requests,
        link.bytes / 1_000,
        link.peak.connections,
        link.peak.requests,
        link.peak.bytes / 1_000
    )
}

fn write_drain(f: &mut fmt::Formatter<'_>, drain: &DrainResult) -> fmt::Result {
    let DrainResult { worker, succeeded_us, learned_after_ms } = drain;
    match (succeeded_us, quantile(learned_after_ms, 0.5), quantile(learned_after_ms, 1.0)) {
        (Some(_), Some(half), Some(all)) => writeln!(
            f,
            "  drain of {worker}: {} available routers, 50% within {half:.1} ms, all within {all:.1} ms",
            learned_after_ms.len()
        ),
        _ => writeln!(f, "  drain of {worker}: the command failed, or no router was available"),
    }
}
