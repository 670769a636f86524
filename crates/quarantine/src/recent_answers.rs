//! Requests that upstreams have answered lately.

use std::{collections::VecDeque, time::Duration};

use mux_model::{FastMap, ServiceName, TimePoint};

use crate::RequestFingerprint;

/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 2_048;
/// Time for which an answer shows that a request does not crash upstreams.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// The service that answered a request; `None` stands for all services of a query over many shards.
type AnswerKey = (RequestFingerprint, Option<ServiceName>);

/// The latest answers to requests, of all services or of one.
///
/// A frequent request runs on many upstreams all the time, and so on those that fall. As it is also
/// answered all the time, it is not their cause.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentAnswers {
    latest: FastMap<AnswerKey, TimePoint>,
    order: VecDeque<(AnswerKey, TimePoint)>,
}

impl RecentAnswers {
    /// Records an answer of `service`, or of all services of the request.
    pub(crate) fn record(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        service: Option<&ServiceName>,
    ) {
        let key = (fingerprint, service.cloned());
        self.latest.insert(key.clone(), now);
        self.order.push_back((key, now));
        while self.order.len() > MAX_ANSWERS {
            let Some((key, answered_at)) = self.order.pop_front() else {
                return;
            };
            // A later answer to the same request is kept.
            if self.latest.get(&key) == Some(&answered_at) {
                self.latest.remove(&key);
            }
        }
    }

    /// Returns whether `service` has answered the request lately.
    pub(crate) fn contains(
        &self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        service: &ServiceName,
    ) -> bool {
        let keys = [(fingerprint, None), (fingerprint, Some(service.clone()))];
        let latest = keys.iter().filter_map(|it| self.latest.get(it)).max();
        latest.is_some_and(|it| now.since(*it) < ANSWER_LIFETIME)
    }
}
