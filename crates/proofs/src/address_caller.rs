//! Callers that ask for addresses and use them for as long as they were told to.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use mux_model::TimePoint;
use mux_timer::TimerService;
use serde_json::Value;
use tokio::task::JoinHandle;

use super::{
    CallerClient, HttpClient, Installation, QueryOutcome, QueryParts, WAIT_LIMIT, wait_until,
};

const QUERY_PERIOD: Duration = Duration::from_millis(10);
const RETRY_LIMIT: usize = 20;

/// Callers of one service that run until told to end.
#[derive(Debug)]
pub struct AddressCallers {
    timer: TimerService,
    ended: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<CallerReport>>,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct CallerReport {
    /// Requests answered in full.
    pub done: usize,
    /// Requests refused as not run; each was sent again elsewhere.
    pub refused: usize,
    /// Requests, sent while their address was valid, that got no complete answer, or one that
    /// is neither a full answer nor a proof that the request did not run.
    pub cut: Vec<String>,
    /// Requests that were refused again and again.
    pub abandoned: Vec<String>,
}

/// One caller.
#[derive(Debug)]
struct AddressCaller {
    name: String,
    service: String,
    timer: TimerService,
    known: Vec<SocketAddr>,
    http: HttpClient,
    caller: CallerClient,
    answer: Option<HeldAnswer>,
    report: CallerReport,
}

/// An address answer that the caller keeps.
#[derive(Debug, Clone)]
struct HeldAnswer {
    addresses: Vec<SocketAddr>,
    expires_at: TimePoint,
}

impl AddressCallers {
    /// Starts `count` callers that know the addresses of all nodes.
    pub fn start(installation: &Installation, service: &str, count: usize) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let done = Arc::new(AtomicUsize::new(0));
        let known: Vec<_> = installation.nodes.iter().map(|it| it.addresses.caller).collect();
        let tasks = (0..count).map(|number| {
            let caller = AddressCaller {
                name: format!("caller-{number}"),
                service: service.to_owned(),
                timer: installation.timer.clone(),
                known: known.clone(),
                http: HttpClient::new(),
                caller: CallerClient::new(),
                answer: None,
                report: CallerReport::default(),
            };
            tokio::spawn(caller.run(Arc::clone(&ended), Arc::clone(&done)))
        });
        Self { timer: installation.timer.clone(), tasks: tasks.collect(), ended, done }
    }

    /// Waits until the callers have had `count` more answers.
    ///
    /// # Panics
    ///
    /// Panics if that never happens.
    pub async fn wait_for_more(&self, count: usize) {
        let goal = self.done.load(Ordering::Relaxed) + count;
        wait_until(&self.timer, "more answers", async || {
            (goal <= self.done.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }

    /// Ends the callers and returns what all of them saw.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn end(self) -> CallerReport {
        self.ended.store(true, Ordering::Relaxed);
        let mut all = CallerReport::default();
        for task in self.tasks {
            let report = task.await.expect("a caller");
            all.done += report.done;
            all.refused += report.refused;
            all.cut.extend(report.cut);
            all.abandoned.extend(report.abandoned);
        }
        all
    }
}

impl AddressCaller {
    async fn run(mut self, ended: Arc<AtomicBool>, done: Arc<AtomicUsize>) -> CallerReport {
        let mut number = 0;
        while !ended.load(Ordering::Relaxed) {
            number += 1;
            let key = format!("{}-{number}", self.name);
            if self.send_until_done(&key).await {
                self.report.done += 1;
                done.fetch_add(1, Ordering::Relaxed);
            } else {
                self.report.abandoned.push(key);
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        self.report
    }

    /// Sends a request until it is answered; a refusal says where to go next.
    async fn send_until_done(&mut self, key: &str) -> bool {
        let mut next: Option<SocketAddr> = None;
        for _ in 0..RETRY_LIMIT {
            let answer = self.current_answer().await;
            let at = next.take().unwrap_or(answer.addresses[0]);
            let outcome = self.caller.query(at, &self.service, QueryParts::keyed(key)).await;
            match outcome {
                Some(it) if it.verdict == "done" && it.is_full() => return true,
                Some(it) if it.verdict == "not_run" => {
                    self.report.refused += 1;
                    next = named_address(&it);
                    self.answer = None;
                }
                other => self.on_no_answer(key, at, &answer, other.as_ref()),
            }
        }
        false
    }

    /// Takes in that a request got no answer.
    ///
    /// Whether a request whose failure was seen after the end of its address's validity was
    /// sent before it can't be told, so that it counts as sent too late.
    fn on_no_answer(
        &mut self,
        key: &str,
        at: SocketAddr,
        answer: &HeldAnswer,
        outcome: Option<&QueryOutcome>,
    ) {
        self.answer = None;
        if outcome.is_some() || self.timer.now() < answer.expires_at {
            self.report.cut.push(format!("{key} at {at}: {outcome:?}"));
        }
    }

    /// Returns the addresses to use now; asks for new ones once the old ones have expired.
    async fn current_answer(&mut self) -> HeldAnswer {
        let valid = self.answer.clone().filter(|it| self.timer.now() < it.expires_at);
        if let Some(answer) = valid {
            return answer;
        }
        let answer = self.ask_until_answered().await;
        self.known.rotate_left(1);
        self.answer = Some(answer.clone());
        answer
    }

    async fn ask_until_answered(&self) -> HeldAnswer {
        let give_up = self.timer.now() + WAIT_LIMIT;
        while self.timer.now() < give_up {
            for at in &self.known {
                if let Some(answer) = self.ask(*at).await {
                    return answer;
                }
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        panic!("no node answers {} within {WAIT_LIMIT:?}", self.name);
    }

    async fn ask(&self, at: SocketAddr) -> Option<HeldAnswer> {
        let asked_at = self.timer.now();
        let path = format!("/v1/services/{}/addresses?caller={}", self.service, self.name);
        let reply = self.http.get(at, &path).await?;
        let lifetime = Duration::from_millis(reply["lifetime_ms"].as_u64()?);
        let entries = reply["addresses"].as_array()?.iter().map(|it| &it["address"]);
        let addresses: Vec<_> = entries.filter_map(parse_address).collect();
        if addresses.is_empty() {
            return None;
        }
        Some(HeldAnswer { addresses, expires_at: asked_at + lifetime })
    }
}

fn named_address(outcome: &QueryOutcome) -> Option<SocketAddr> {
    parse_address(outcome.content["addresses"].get(0)?)
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}
