//! Results of an experiment as text.

use std::fmt::Write;

use super::{
    cell_run::{CellOutcome, CellPlan},
    leaf_group::GroupCalls,
    machine_load::MachineTicks,
    routing_choice::RoutingChoice,
    scenario::Scenario,
    shape::ServiceShape,
};
use crate::load::{LoadReport, LoadTally};

/// Results of all cells.
#[derive(Debug, Default)]
pub(crate) struct ResultTable {
    cells: Vec<(CellPlan, CellOutcome)>,
}

/// Cells of one shape, scenario and policy, all seeds together.
struct MergedCell {
    report: LoadReport,
    calls: GroupCalls,
    machine: MachineTicks,
    load_per_s: f64,
}

/// The worst of all shapes in one scenario.
struct ScenarioSummary {
    p99_ratio: f64,
    coverage: f64,
    extra_load: f64,
    baseline_extra_load: f64,
}

impl GroupCalls {
    /// Returns the calls beyond one for each query and shard, as a share.
    pub(crate) fn extra_load(self) -> f64 {
        self.received as f64 / (self.distinct.max(1) as f64) - 1.0
    }

    fn add(&mut self, other: Self) {
        self.received += other.received;
        self.distinct += other.distinct;
    }
}

impl ResultTable {
    /// Adds the cells of one shape.
    pub(crate) fn extend(&mut self, cells: Vec<(CellPlan, CellOutcome)>) {
        self.cells.extend(cells);
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
                for choice in RoutingChoice::ALL {
                    if let Some(cell) = self.merge(*shape, *scenario, choice) {
                        write_row(&mut text, *scenario, *shape, choice, &cell);
                    }
                }
            }
        }
        text
    }

    /// Returns one line for each scenario; each figure is that of the worst shape.
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
                summary.baseline_extra_load,
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
        let plain = self.merge(shape, scenario, RoutingChoice::Plain)?;
        let baseline = self.merge(shape, scenario, RoutingChoice::FixedHedge)?;
        let ours = self.merge(shape, scenario, RoutingChoice::Ours)?;
        Some(ScenarioSummary {
            p99_ratio: ours.report.p99_ms / plain.report.p99_ms,
            coverage: ours.report.coverage_mean,
            extra_load: ours.calls.extra_load(),
            baseline_extra_load: baseline.calls.extra_load(),
        })
    }

    fn merge(
        &self,
        shape: ServiceShape,
        scenario: Scenario,
        choice: RoutingChoice,
    ) -> Option<MergedCell> {
        let mut cells = self.cells.iter().filter(|(plan, _)| {
            plan.shape == shape && plan.scenario == scenario && plan.choice == choice
        });
        let (plan, first) = cells.next()?;
        let mut tally: LoadTally = first.tally.clone();
        let mut calls = first.calls;
        let mut machine = first.machine;
        for (_, cell) in cells {
            tally.merge(&cell.tally);
            calls.add(cell.calls);
            machine.add(cell.machine);
        }
        Some(MergedCell { report: tally.report(), calls, machine, load_per_s: plan.rate })
    }
}

impl ScenarioSummary {
    fn worst(self, other: Self) -> Self {
        Self {
            p99_ratio: self.p99_ratio.max(other.p99_ratio),
            coverage: self.coverage.min(other.coverage),
            extra_load: self.extra_load.max(other.extra_load),
            baseline_extra_load: self.baseline_extra_load.max(other.baseline_extra_load),
        }
    }
}

fn write_row(
    text: &mut String,
    scenario: Scenario,
    shape: ServiceShape,
    choice: RoutingChoice,
    cell: &MergedCell,
) {
    let report = &cell.report;
    let codes: Vec<_> =
        report.codes.iter().map(|(code, count)| format!("{code} {count}")).collect();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "| {} | {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.4} | {:.2} | {:.2} % | {} of {} \
         | {:.0} | {} | {:.0} % | {} |",
        scenario.name(),
        shape.name(),
        choice.name(),
        cell.load_per_s,
        report.p50_ms,
        report.p99_ms,
        report.p999_ms,
        report.coverage_mean,
        report.coverage_min,
        cell.calls.extra_load() * 100.0,
        report.refused,
        report.sent,
        report.goodput,
        report.not_whole,
        cell.machine.busy_share() * 100.0,
        codes.join(", "),
    );
}
