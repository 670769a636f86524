//! What a balancer does with cold upstreams.

use std::time::Duration;

use mux_model::{InstanceId, TimePoint};

use super::{ServiceBalancer, WarmUpReport, WarmUpRule};

impl ServiceBalancer {
    /// Sets the bound on the calls to each cold upstream; `None` if they are not bounded. To be called
    /// before [`Self::set_upstreams`], if both change.
    pub fn set_warm_up_rule(&self, now: TimePoint, rule: Option<WarmUpRule>) {
        let mut state = self.lock();
        if state.warm_up_rule == rule {
            return;
        }
        state.warm_up_rule = rule;
        for upstream in &mut state.upstreams {
            upstream.warm_up.set_rule(now, rule.as_ref(), upstream.rate_share);
        }
    }

    /// Records how much longer `instance` stays cold, which a reply to a call sent at `sent_at` states;
    /// zero if it is warm.
    pub fn record_warm_up(
        &self,
        now: TimePoint,
        instance: &InstanceId,
        sent_at: TimePoint,
        time_left: Duration,
    ) {
        let rule = self.lock().warm_up_rule;
        self.with_instance(instance, |it| {
            it.warm_up.on_reply(now, sent_at, time_left, rule.as_ref(), it.rate_share);
        });
    }

    /// Returns the use of the bounds of the upstreams that are cold.
    pub fn warm_up_reports(&self, now: TimePoint) -> Vec<WarmUpReport> {
        let state = self.lock();
        let reports = state
            .upstreams
            .iter()
            .filter_map(|it| it.warm_up.report(now, &it.instance, it.rate_share));
        reports.filter(|it| it.is_cold).collect()
    }

    /// Returns the use of the bounds of the upstreams whose warm-up has begun or ended since the last
    /// call of this method.
    pub fn take_warm_up_changes(&self, now: TimePoint) -> Vec<WarmUpReport> {
        let mut state = self.lock();
        let changes = state
            .upstreams
            .iter_mut()
            .filter_map(|it| it.warm_up.take_change(now, &it.instance, it.rate_share));
        changes.collect()
    }
}
