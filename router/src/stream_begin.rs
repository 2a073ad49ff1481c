//! The begin of a stream: before its first event the caller gets no head, so that another server's
//! response can still replace it.

use clementinearch_policy::server_health::AttemptOutcome;
use hyper::body::Bytes;

use crate::{
    active_request::{ActiveRequest, Reply},
    event_source::{EventSource, StreamStep},
    handover::Handover,
    health_tracking::record_server_outcome,
    refusal::Refusal,
    stream_source::Source,
};

/// How a stream began.
pub(crate) enum Begin {
    /// With these events; none if it is complete without any.
    Stream(Source, Bytes),
    /// Another server or peer has taken the request over.
    Taken(Reply),
    /// The server was left or broke off, and no other could be had; or the deadline passed.
    Failed(Refusal),
    /// It broke off before its first event.
    Broken,
}

impl ActiveRequest {
    /// Waits for the first events of a stream. If its server is silent or late, others are tried
    /// meanwhile.
    pub(crate) async fn begin_stream(
        &mut self,
        mut source: Source,
        resume_after: Option<u64>,
    ) -> Begin {
        loop {
            let why = match source.next(self).await {
                StreamStep::Events(first) => {
                    if let Source::Server(source) = &source {
                        self.record_start(source);
                    }
                    return Begin::Stream(source, first);
                }
                StreamStep::End => return Begin::Stream(source, Bytes::new()),
                StreamStep::Broken(why) => {
                    self.record_broken_source(&source, why).await;
                    return Begin::Broken;
                }
                StreamStep::DeadlinePassed => return Begin::Failed(Refusal::DeadlinePassed),
                StreamStep::Stalled(why) => why,
            };
            source.record_stall(self, why).await;
            let handover = self.hand_over(source.holder(), resume_after, why).await;
            if handover.is_gone() {
                source.record_gone(&self.state, &self.call).await;
            }
            match handover {
                Handover::Kept => {}
                Handover::Taken { reply, .. } => return Begin::Taken(reply),
                Handover::Failed { refusal, .. } => return Begin::Failed(refusal),
            }
        }
    }

    /// Records that the first event of a stream arrived, which tells of its server's latency.
    fn record_start(&mut self, source: &EventSource) {
        let now = self.state.now();
        let sent_at = source.sent_at();
        self.first_event_at = Some(now);
        let server = source.in_flight().server().clone();
        self.record_first_event(&server, sent_at, now);
        self.state.record_prefill(
            &self.call.service,
            self.call.head.route.sizes.len(),
            self.size,
            source.in_flight().uncached_tokens(),
            now.since(sent_at),
        );
        record_server_outcome(&self.state, &server, AttemptOutcome::Good, now);
    }
}
