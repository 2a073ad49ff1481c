//! What this host records of crashes against the contents of requests, and of blocks in the store.

use std::sync::Arc;

use clementinearch_policy::{
    crash_set::Crash, crash_suspects::ContentStatus, planned_end::PlannedEnd, time::Millis,
};

use crate::{
    call::hash_bytes,
    crash_check::{PLANNED_END, log_crash, record_content_crash},
    decision_log::{Decision, Severity},
    dialect::Block,
    hooks::RequestContext,
    host_state::HostState,
    in_flight::ANSWERING_SPAN,
    rollout::RolloutStatus,
    server::{AttemptTarget, Server},
    unfinished_attempts::UnfinishedAttempt,
};

/// Returns a crash of the target of an attempt, as all hosts name it.
pub(crate) fn crash_of(target: AttemptTarget<'_>, at: Millis) -> Crash {
    let incarnation = target.incarnation.to_le_bytes();
    let server = hash_bytes(&[target.name.as_bytes(), &incarnation].concat()) as u32;
    Crash { server, at }
}

/// Formats ids of prompt parts as in requests: in hexadecimal and separated by commas.
pub(crate) fn format_parts(parts: &[u64]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    ids.join(",")
}

impl HostState {
    /// Records that a server crashed at `at` while it had a request with this content.
    pub(crate) fn record_crash(&self, content: u64, server: AttemptTarget<'_>, at: Millis) {
        let now = self.now();
        let mut evidence = self.crash_evidence.lock();
        let was_blocked = matches!(evidence.status(content, now), ContentStatus::Blocked(_));
        let status = evidence.record_crash(content, crash_of(server, at).server, at, now);
        drop(evidence);
        if !was_blocked && matches!(status, ContentStatus::Blocked(_)) {
            let block = Block::Content(content);
            self.log_block("content_blocked", block, "own");
            self.stored_blocks.record_own(block);
        }
    }

    /// Whether a server that ended at some time from `from` to `to` ended as planned, since its
    /// version had lost a rollout.
    pub(crate) fn ends_as_planned(&self, server: &Server, from: Millis, to: Millis) -> bool {
        let entry = &server.entry;
        let window = self.rollouts.planned_window(&entry.service, &entry.version);
        window.is_some_and(|window| window.overlaps(from, to))
    }

    /// Applies the status of a rollout. Returns whether its state changed.
    ///
    /// Once the rollout has ended, servers of the losing version end as planned. Crashes of them
    /// that this host or a peer recorded before it read the status are withdrawn.
    pub(crate) fn record_rollout_status(&self, status: &RolloutStatus, now: Millis) -> bool {
        if !self.rollouts.record_status(status, now) {
            return false;
        }
        let mut servers = self.servers.all();
        servers.extend(self.unfinished_attempts.removed_servers());
        servers.retain(|server| server.entry.service == status.service);
        let planned_end = |server: &Arc<Server>| {
            let entry = &server.entry;
            let window = self
                .rollouts
                .planned_window(&entry.service, &entry.version)?;
            let crash = crash_of(server.attempt_target(false), now);
            Some(PlannedEnd {
                server: crash.server,
                window,
            })
        };
        let ends: Vec<PlannedEnd> = servers.iter().filter_map(planned_end).collect();
        if !ends.is_empty() {
            let mut evidence = self.crash_evidence.lock();
            evidence.record_planned_ends(&ends, now);
            drop(evidence);
            self.part_evidence.lock().record_planned_ends(&ends, now);
        }
        true
    }

    /// Records that the store holds a block.
    pub(crate) fn record_stored_block(&self, block: Block) {
        self.stored_blocks.record_stored(block);
        match block {
            Block::Content(content) => self.record_stored_content_block(content),
            Block::Part(part) => self.record_stored_part_block(part),
        }
    }

    /// Records that the store does not hold a block any more. The crashes that this host knows of
    /// still count.
    pub(crate) fn record_removed_block(&self, block: Block) {
        self.stored_blocks.record_removed(block);
        match block {
            Block::Content(content) => self.crash_evidence.lock().retract_block(content),
            Block::Part(part) => self.part_evidence.lock().retract_block(part, self.now()),
        }
    }

    fn record_stored_content_block(&self, content: u64) {
        let now = self.now();
        let mut evidence = self.crash_evidence.lock();
        let was_blocked = matches!(evidence.status(content, now), ContentStatus::Blocked(_));
        evidence.record_block(content, now);
        drop(evidence);
        if !was_blocked {
            self.log_block("content_blocked", Block::Content(content), "store");
        }
    }

    /// Records that servers crashed under these attempts, as the list of servers shows.
    pub(crate) fn record_crashes(&self, attempts: Vec<UnfinishedAttempt>) {
        for attempt in attempts {
            let target = attempt.server.attempt_target(attempt.is_trial);
            let UnfinishedAttempt {
                call,
                is_answering,
                ended_at,
                ..
            } = &attempt;
            // A server that went on sending has survived the begin of this answer as well.
            let survived_at = attempt.server.last_contact();
            let has_survived = *is_answering || survived_at.since(*ended_at) >= ANSWERING_SPAN;
            if self.ends_as_planned(&attempt.server, *ended_at, self.now()) {
                let context = RequestContext {
                    state: self,
                    call,
                    now: *ended_at,
                };
                let event = "crash_ruled_out";
                log_crash(context, target.name, event, PLANNED_END, has_survived);
                continue;
            }
            record_content_crash(self, call, target, has_survived, *ended_at);
        }
    }

    /// Logs a change of what the host believes of a request content or a prompt part.
    pub(crate) fn log_block(&self, event: &str, block: Block, why: &str) {
        self.log_block_with(event, block, why, &[]);
    }

    /// As [`Self::log_block`], with numbers.
    pub(crate) fn log_block_with(
        &self,
        event: &str,
        block: Block,
        why: &str,
        inputs: &[(&str, f64)],
    ) {
        let (content, parts) = match block {
            Block::Content(content) => (format!("{content:016x}"), String::new()),
            Block::Part(part) => (String::new(), format_parts(&[part])),
        };
        let decision = Decision {
            ms: self.now().0,
            event,
            why,
            content: &content,
            parts: &parts,
            inputs,
            ..Decision::default()
        };
        self.log.write(Severity::Important, &decision);
    }
}
