//! The terms that the trace of a run is checked against, by the gateways' settings.

use super::Runner;
use crate::settings::Site;
use slatevalve::{Class, Effect, Group};
use slatevalve_trace_checker::{ClassTerms, EffectTerms, GroupTerms, Terms, WorkerTerms};
use std::collections::BTreeMap;

impl Runner<'_> {
    pub(super) fn terms(&self, site: &Site) -> Terms {
        let balancer = &site.engine.balancer;
        let classes = site.classes.iter().zip(&balancer.classes);
        Terms {
            classes: classes.map(|(name, class)| (name.clone(), class_terms(class))).collect(),
            workers: self.worker_terms(),
            answer_slack_us: balancer.rules.answer_slack.0,
            drain_grace_us: balancer.rules.drain_grace.0,
            fall_multiple: balancer.rules.overload_multiple,
            fall_window_us: balancer.rules.overload_window.0,
            ration_window_us: balancer.loading.load_quota_window.0,
            ration_free: balancer.loading.load_quota_free,
            ration_share: balancer.loading.load_quota_share,
            settings: None,
        }
    }

    fn worker_terms(&self) -> BTreeMap<String, WorkerTerms> {
        let terms = |index| WorkerTerms { zone: self.zone(index), cell: self.cell(index) };
        (0..self.workers.len()).map(|index| (format!("worker-{index}"), terms(index))).collect()
    }
}

fn class_terms(class: &Class) -> ClassTerms {
    ClassTerms {
        effect: effect_terms(class.effect),
        latency_objective_us: class.latency_objective.0,
        priority_weight: class.priority_weight,
        late_value: class.late_value,
    }
}

fn effect_terms(effect: Effect) -> EffectTerms {
    match effect {
        Effect::Idempotent => EffectTerms::Safe,
        Effect::NonIdempotent => EffectTerms::Unsafe,
        Effect::IdempotentWithKey { group, memory } => {
            let group = match group {
                Group::All => GroupTerms::All,
                Group::Zone => GroupTerms::Zone,
                Group::Cell => GroupTerms::Cell,
            };
            EffectTerms::Keyed { group, window_us: memory.0 }
        }
    }
}
