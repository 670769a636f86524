//! Statistics of a load run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::query_reply::QueryReply;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Query counts and latencies of one run; can be merged with those of other runs.
#[derive(Debug, Clone)]
pub(crate) struct LoadStats {
    answer_latency_micros: Histogram<u64>,
    sent: u64,
    verdicts: BTreeMap<String, u64>,
    codes: BTreeMap<String, u64>,
    inconsistent_answers: u64,
    coverage_sum: f64,
    coverage_min: f64,
    window: Duration,
}

/// Summary of a [`LoadStats`].
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadReport {
    /// Queries sent.
    pub(crate) sent: u64,
    /// Queries by verdict; `no_reply` if no valid reply was received.
    pub(crate) verdicts: BTreeMap<String, u64>,
    /// Queries by error code, if the reply has one.
    pub(crate) codes: BTreeMap<String, u64>,
    /// Answers with a result of another query, shard or snapshot, or with a wrong coverage.
    pub(crate) not_whole: u64,
    /// Median answer latency from the intended send time, in milliseconds.
    pub(crate) p50_ms: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub(crate) p99_ms: f64,
    /// 99.9th percentile of that latency, in milliseconds.
    pub(crate) p999_ms: f64,
    /// Mean coverage of the answers, 0 to 1.
    pub(crate) coverage_mean: f64,
    /// Lowest coverage of an answer, 0 to 1; 0 without answers.
    pub(crate) coverage_min: f64,
    /// Queries with any verdict but `done`, including `no_reply`.
    pub(crate) refused: u64,
    /// Answers per second.
    pub(crate) goodput: f64,
}

impl LoadStats {
    pub(crate) fn new(window: Duration) -> Self {
        // Fails only above five significant digits.
        let answer_latency_micros = Histogram::new(SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("the number of significant digits is valid"));
        Self {
            answer_latency_micros,
            sent: 0,
            verdicts: BTreeMap::new(),
            codes: BTreeMap::new(),
            inconsistent_answers: 0,
            coverage_sum: 0.0,
            coverage_min: 1.0,
            window,
        }
    }

    /// Records a query and its reply; `None` if no valid reply was received.
    pub(crate) fn record(
        &mut self,
        latency: Duration,
        query: &serde_json::Value,
        reply: Option<&QueryReply>,
    ) {
        self.sent += 1;
        let verdict = reply.map_or("no_reply", |it| it.verdict.as_str());
        *self.verdicts.entry(verdict.to_owned()).or_default() += 1;
        let Some(reply) = reply else {
            return;
        };
        if let Some(error) = &reply.error {
            *self.codes.entry(error.code.clone()).or_default() += 1;
        }
        if reply.verdict == "done" {
            self.record_answer(latency, query, reply);
        }
    }

    /// Adds the queries and the measurement window of another run.
    pub(crate) fn merge(&mut self, other: &Self) {
        // Fails only for values above the range, which is resized automatically.
        let _ = self.answer_latency_micros.add(&other.answer_latency_micros);
        self.sent += other.sent;
        add_counts(&mut self.verdicts, &other.verdicts);
        add_counts(&mut self.codes, &other.codes);
        self.inconsistent_answers += other.inconsistent_answers;
        self.coverage_sum += other.coverage_sum;
        self.coverage_min = self.coverage_min.min(other.coverage_min);
        self.window += other.window;
    }

    /// Returns the summary.
    pub(crate) fn report(&self) -> LoadReport {
        let answered = self.answer_latency_micros.len();
        let quantile = |q| to_millis(self.answer_latency_micros.value_at_quantile(q));
        LoadReport {
            sent: self.sent,
            verdicts: self.verdicts.clone(),
            codes: self.codes.clone(),
            not_whole: self.inconsistent_answers,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            coverage_mean: self.coverage_sum / (answered.max(1) as f64),
            coverage_min: if answered == 0 { 0.0 } else { self.coverage_min },
            refused: self.sent - answered,
            goodput: answered as f64 / self.window.as_secs_f64(),
        }
    }

    fn record_answer(&mut self, latency: Duration, query: &serde_json::Value, reply: &QueryReply) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram is resized automatically, so that no value is out of range.
        let _ = self.answer_latency_micros.record(micros.max(1));
        let share = reply.share().unwrap_or(0.0);
        self.coverage_sum += share;
        self.coverage_min = self.coverage_min.min(share);
        if !reply.is_consistent(query) {
            self.inconsistent_answers += 1;
        }
    }
}

fn add_counts(counts: &mut BTreeMap<String, u64>, other: &BTreeMap<String, u64>) {
    for (name, count) in other {
        *counts.entry(name.clone()).or_default() += count;
    }
}

fn to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
