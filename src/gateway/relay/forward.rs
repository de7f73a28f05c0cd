//! Passes a call on to another daemon while this one is cut off from the upstreams of its service; see
//! docs/design/cut-off.md.

use std::sync::Arc;

use hyper::StatusCode;
use metrics::counter;
use tokio::time;
use tracing::info;

use crate::{
    Error,
    gateway::{
        call::Forward,
        dialect::{Notice, Refusal},
        gauge::Health,
        hold::Reservation,
        place::Choice,
        reach::{self, Helper},
        relay::{MAX_REJECTIONS, RESPONSE_MARGIN, RETRY_AFTER, Relay},
        roster::{Endpoint, Record},
    },
    http::client::Answer,
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Upstream, Zone},
    },
    route::pool::name_hash,
};

/// Why another daemon gave no answer of an upstream.
enum Failure {
    /// Nothing was sent.
    Unreachable(String),
    /// It refused the call, and no upstream has executed it.
    Refused(Refusal),
    /// An upstream may have executed the call.
    Lost(String),
    /// The attempt timed out, and an upstream may have executed the call.
    TimedOut,
}

impl Relay {
    /// Whether the call must be passed on to be served. One that was passed on before is not, because
    /// daemons that are all cut off would pass it round.
    pub(super) fn is_cut_off(&self) -> bool {
        self.call.head.forwarded.is_none() && self.context.is_cut_off(self.call.service())
    }

    /// Whether no earlier attempt forbids a further one.
    pub(super) fn may_forward(&self) -> bool {
        let route = &self.call.route;
        let may_repeat = route.kind.is_repeatable() && self.executions < route.max_attempts;
        self.executions == 0 || may_repeat
    }

    /// Passes the call on to other daemons until one of them answers or refuses it.
    pub(super) async fn obtain_forwarded(&mut self) -> Result<(Reservation, Box<Answer>), Refusal> {
        for _ in 0..MAX_REJECTIONS {
            self.check()?;
            let Some(helper) = self.choose_helper() else {
                break;
            };
            counter!("tealturn_calls_forwarded_total").increment(1);
            info!(
                attempt = self.call.head.attempt,
                daemon = helper.name,
                last_event = self.last_event,
                runs = self.executions,
                "cut off from the upstreams, passing the call on"
            );
            let reservation = self.reserve_helper(&helper);
            self.is_sent = true;
            let failure = match self.forward_once(&reservation).await {
                Ok(answer) => return Ok((reservation, answer)),
                Err(failure) => failure,
            };
            self.is_sent = !matches!(failure, Failure::Unreachable(_) | Failure::Refused(_));
            let reason = match &failure {
                Failure::Unreachable(reason) | Failure::Lost(reason) => reason,
                Failure::Refused(_) => "refused",
                Failure::TimedOut => "timed out",
            };
            let attempt = &self.call.head.attempt;
            info!(attempt, daemon = helper.name, reason, "the other daemon gave no answer");
            self.excluded.push(Upstream::from(&*helper.name));
            let refusal = match failure {
                Failure::Unreachable(_) => continue,
                Failure::Refused(refusal) if self.executions == 0 => return Err(refusal),
                Failure::Refused(_) => return Err(Refusal::Lost),
                Failure::Lost(_) => Refusal::Lost,
                Failure::TimedOut => Refusal::TimedOut,
            };
            let may_retry = self.may_retry();
            self.executions += 1;
            if !may_retry {
                return Err(refusal);
            }
        }
        Err(self.no_upstream())
    }

    fn choose_helper(&self) -> Option<Helper> {
        let context = &self.context;
        let (members, now) = (context.members.all(), context.now());
        let accepting = context.peers.accepting_callers(now);
        let own = context.settings.daemon.as_str();
        reach::choose(&members, own, &accepting, &self.excluded, rand::random())
    }

    /// Represents the other daemon in place of an upstream, whose load and health it judges itself.
    fn reserve_helper(&self, helper: &Helper) -> Reservation {
        let record = Record {
            service: self.call.service().clone(),
            address: helper.address,
            zone: Zone::from(""),
            build: Build::from(""),
            slots: 0,
            draining: false,
            incarnation: Incarnation::default(),
            weights: Vec::new(),
        };
        let endpoint = Endpoint {
            name: Upstream::from(&*helper.name),
            hash: name_hash(&helper.name),
            record,
            health: Arc::<Health>::default(),
        };
        let choice = Choice {
            endpoint: Arc::new(endpoint),
            version: None,
            superseded_since: None,
            unread_tokens: 0,
            source: None,
            prefix_depth: (0, 0),
            save_to: None,
            cost_ms: 0.0,
            first_event_ms: 0.0,
            reason: "cut_off",
        };
        Reservation::forwarded(&self.context, choice)
    }

    async fn forward_once(&self, reservation: &Reservation) -> Result<Box<Answer>, Failure> {
        let (context, call) = (&self.context, &self.call);
        let time_left = call.deadline.since(context.now()).saturating_sub(RESPONSE_MARGIN);
        let forward =
            Forward { time_left, last_event: self.last_event.clone(), executions: self.executions };
        let mut headers = call.headers.clone();
        context.dialect.write_forwarded_headers(&forward, &mut headers);
        let Some(request) = self.request(headers) else {
            return Err(Failure::Unreachable("request target is not a valid URI".to_owned()));
        };
        let address = reservation.choice.endpoint.record.address;
        let sent_at = context.now();
        let sent = async {
            match call.route.kind.is_repeatable() {
                true => context.client.send(address, request).await,
                false => context.client.send_fresh(address, request).await,
            }
        };
        match time::timeout(self.attempt_timeout(time_left), sent).await {
            Err(_) => Err(Failure::TimedOut),
            Ok(Err(Error::Connect { source, .. })) => Err(Failure::Unreachable(source.to_string())),
            Ok(Err(error)) => Err(Failure::Lost(error.to_string())),
            Ok(Ok(answer)) => self.classify_forwarded(answer, sent_at),
        }
    }

    /// Takes what an upstream that another daemon has called says of itself.
    fn take_forwarded_notice(
        &self,
        name: &Upstream,
        incarnation: Incarnation,
        notice: Notice,
        sent_at: Time,
    ) {
        let view = self.context.view.load();
        let mut upstreams = view.service(self.call.service()).iter();
        let is_named =
            |it: &&Arc<Endpoint>| (&it.name, it.record.incarnation) == (name, incarnation);
        if let Some(endpoint) = upstreams.find(is_named) {
            return self.context.take_notice(endpoint, notice, sent_at);
        }
        if notice != Notice::default() {
            let (attempt, upstream) = (&self.call.head.attempt, name.as_str());
            info!(attempt, upstream, ?notice, "an upstream that is not in use says this of itself");
        }
    }

    /// Tells the answer of an upstream, which names this call, from a refusal of the other daemon.
    fn classify_forwarded(
        &self,
        mut answer: Answer,
        sent_at: Time,
    ) -> Result<Box<Answer>, Failure> {
        let upstream = self.context.dialect.take_upstream(answer.response.headers_mut());
        let (status, headers) = (answer.response.status(), answer.response.headers());
        let head = self.context.dialect.parse_response(&self.call, status, headers);
        if let Some((name, incarnation)) = upstream.filter(|_| head.matches_request) {
            self.take_forwarded_notice(&name, incarnation, head.notice, sent_at);
        }
        if let Some(fault) = self.find_fault(&answer).filter(|_| head.matches_request) {
            return Err(Failure::Lost(fault));
        }
        if head.matches_request && status.is_server_error() && self.may_retry() {
            return Err(Failure::Lost(format!("an upstream answered {status}")));
        }
        if head.matches_request && (head.signed || !status.is_success()) {
            return Ok(Box::new(answer));
        }
        if status.is_success() {
            return Err(Failure::Lost("the answer is not that of an upstream".to_owned()));
        }
        let retry_after = self.context.dialect.retry_after(headers).unwrap_or(RETRY_AFTER);
        Err(match status {
            StatusCode::TOO_MANY_REQUESTS => Failure::Refused(Refusal::OverQuota(retry_after)),
            StatusCode::GATEWAY_TIMEOUT => Failure::TimedOut,
            // This daemon has accepted the call, so the other one lacks what allows it.
            _ if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() => {
                Failure::Refused(Refusal::NotRun(retry_after))
            }
            _ => Failure::Lost(format!("the other daemon answered {status}")),
        })
    }
}
