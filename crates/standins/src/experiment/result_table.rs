//! Text output of the results of an experiment.

use std::fmt::Write;

use super::{
    call_policy::CallPolicy,
    host_cpu_time::HostCpuTime,
    leaf_group::GroupCalls,
    scenario::Scenario,
    shape::ServiceShape,
    trial_run::{TrialOutcome, TrialPlan},
};
use crate::load::{LoadReport, LoadStats};

/// Results of all trials.
#[derive(Debug, Default)]
pub(crate) struct ResultTable {
    trials: Vec<(TrialPlan, TrialOutcome)>,
}

/// Trials of one shape, scenario and policy, aggregated over all seeds.
struct AggregatedTrials {
    report: LoadReport,
    calls: GroupCalls,
    host_cpu: HostCpuTime,
    offered_per_s: f64,
}

/// Results of [`CallPolicy::ServiceDefaults`] in one scenario, and the extra load of
/// [`CallPolicy::FixedHedge`]; each is the worst value over all shapes.
struct ScenarioSummary {
    /// Ratio of the 99th percentile latency to that of [`CallPolicy::Plain`].
    p99_ratio: f64,
    coverage: f64,
    extra_load: f64,
    /// Extra load of [`CallPolicy::FixedHedge`].
    fixed_hedge_extra_load: f64,
}

impl GroupCalls {
    /// Returns the ratio of further calls (hedges and retries) to first calls of shards.
    pub(crate) fn extra_load(self) -> f64 {
        self.received as f64 / (self.distinct.max(1) as f64) - 1.0
    }

    fn add(&mut self, other: Self) {
        self.received += other.received;
        self.distinct += other.distinct;
    }
}

impl ResultTable {
    /// Adds the trials of one scenario.
    pub(crate) fn extend(&mut self, trials: Vec<(TrialPlan, TrialOutcome)>) {
        self.trials.extend(trials);
    }

    /// Returns the table in Markdown.
    pub(crate) fn to_markdown(&self, shapes: &[ServiceShape], scenarios: &[Scenario]) -> String {
        let mut text = String::from(
            "| Scenario | Shape | Policy | Offered/s | p50 ms | p99 ms | p99.9 ms | Coverage mean \
             | Coverage min | Extra load | Refused | Goodput/s | Not whole | Machine busy | Errors |\n\
             |---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|\n",
        );
        for scenario in scenarios {
            for shape in shapes {
                for policy in CallPolicy::ALL {
                    if let Some(trial) = self.aggregate(*shape, *scenario, policy) {
                        write_table_row(&mut text, *scenario, *shape, policy, &trial);
                    }
                }
            }
        }
        text
    }

    /// Returns one line per scenario; each figure is from the shape where it is worst.
    pub(crate) fn to_summary(&self, shapes: &[ServiceShape], scenarios: &[Scenario]) -> String {
        let mut text = String::new();
        for scenario in scenarios {
            let Some(summary) = self.summarize(shapes, *scenario) else {
                continue;
            };
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "scenario={} p99_ratio={:.3} coverage={:.4} extra_load={:.4} \
                 baseline_extra_load={:.4}",
                scenario.name(),
                summary.p99_ratio,
                summary.coverage,
                summary.extra_load,
                summary.fixed_hedge_extra_load,
            );
        }
        text
    }

    fn summarize(&self, shapes: &[ServiceShape], scenario: Scenario) -> Option<ScenarioSummary> {
        let mut summaries = shapes.iter().filter_map(|it| self.summarize_shape(*it, scenario));
        let first = summaries.next()?;
        Some(summaries.fold(first, ScenarioSummary::worst))
    }

    fn summarize_shape(&self, shape: ServiceShape, scenario: Scenario) -> Option<ScenarioSummary> {
        let plain = self.aggregate(shape, scenario, CallPolicy::Plain)?;
        let fixed_hedge = self.aggregate(shape, scenario, CallPolicy::FixedHedge)?;
        let service_defaults = self.aggregate(shape, scenario, CallPolicy::ServiceDefaults)?;
        Some(ScenarioSummary {
            p99_ratio: service_defaults.report.p99_ms / plain.report.p99_ms,
            coverage: service_defaults.report.coverage_mean,
            extra_load: service_defaults.calls.extra_load(),
            fixed_hedge_extra_load: fixed_hedge.calls.extra_load(),
        })
    }

    fn aggregate(
        &self,
        shape: ServiceShape,
        scenario: Scenario,
        policy: CallPolicy,
    ) -> Option<AggregatedTrials> {
        let mut trials = self.trials.iter().filter(|(plan, _)| {
            plan.shape == shape && plan.scenario == scenario && plan.policy == policy
        });
        let (plan, first) = trials.next()?;
        let mut stats: LoadStats = first.stats.clone();
        let mut calls = first.calls;
        let mut host_cpu = first.host_cpu;
        for (_, trial) in trials {
            stats.merge(&trial.stats);
            calls.add(trial.calls);
            host_cpu.add(trial.host_cpu);
        }
        Some(AggregatedTrials { report: stats.report(), calls, host_cpu, offered_per_s: plan.rate })
    }
}

impl ScenarioSummary {
    fn worst(self, other: Self) -> Self {
        Self {
            p99_ratio: self.p99_ratio.max(other.p99_ratio),
            coverage: self.coverage.min(other.coverage),
            extra_load: self.extra_load.max(other.extra_load),
            fixed_hedge_extra_load: self.fixed_hedge_extra_load.max(other.fixed_hedge_extra_load),
        }
    }
}

fn write_table_row(
    text: &mut String,
    scenario: Scenario,
    shape: ServiceShape,
    policy: CallPolicy,
    trial: &AggregatedTrials,
) {
    let report = &trial.report;
    let codes: Vec<_> =
        report.codes.iter().map(|(code, count)| format!("{code} {count}")).collect();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| {} | {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.4} | {:.2} | {:.2} % | {} of {} \
         | {:.0} | {} | {:.0} % | {} |",
        scenario.name(),
        shape.name(),
        policy.name(),
        trial.offered_per_s,
        report.p50_ms,
        report.p99_ms,
        report.p999_ms,
        report.coverage_mean,
        report.coverage_min,
        trial.calls.extra_load() * 100.0,
        report.refused,
        report.sent,
        report.goodput,
        report.not_whole,
        trial.host_cpu.busy_share() * 100.0,
        codes.join(", "),
    );
}
