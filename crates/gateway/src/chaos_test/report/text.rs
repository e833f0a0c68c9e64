//! Formats the report as text.

use super::Report;
use std::fmt;

/// Maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, seed {}", self.name, self.seed)?;
        self.write_calls(f)?;
        self.write_loads(f)?;
        self.write_violations(f)
    }
}

impl Report {
    fn write_calls(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requested_weight, weight_in_time, p50_us, p99_us, .. } = self;
        let share = if *requested_weight > 0.0 { weight_in_time / requested_weight } else { 0.0 };
        writeln!(
            f,
            "  calls {}: served {}, refused {}, failed {}, disconnected {}, unanswered {}",
            self.calls, self.served, self.refused, self.failed, self.disconnected, self.unanswered
        )?;
        writeln!(
            f,
            "  weight in time {weight_in_time:.1} of {requested_weight:.1} requested ({share:.3}); latency of served calls {p50_us} us (median), {p99_us} us (99th percentile)"
        )?;
        if let Some(window) = &self.window {
            writeln!(
                f,
                "  in the window: weight in time {:.1} of {:.1}, latency {} us (99th percentile)",
                window.weight_in_time, window.requested_weight, window.p99_us
            )?;
        }
        Ok(())
    }

    fn write_loads(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  load requests: {}; fetches from the store: {}", self.load_requests, self.fetches)?;
        if let Some((load_requests, fetches)) = self.window_loads {
            writeln!(f, "  in the window: load requests {load_requests}, fetches {fetches}")?;
        }
        Ok(())
    }

    fn write_violations(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  non-idempotent calls that ran more than once: {}; violations: {}",
            self.ran_twice,
            self.violations.len()
        )?;
        if self.unclean_stops > 0 {
            writeln!(f, "  gateways that did not stop cleanly: {}", self.unclean_stops)?;
        }
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            writeln!(f, "    {:?} at {}: {}", violation.rule, violation.at_us, violation.what)?;
        }
        Ok(())
    }
}
