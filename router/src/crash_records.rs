//! What this host records of crashes against the contents of requests, and of blocks in the store.

use clementinearch_policy::{crash_set::Crash, crash_suspects::ContentStatus, time::Millis};

use crate::{
    call::hash_bytes,
    crash_check::record_content_crash,
    decision_log::{Decision, Severity},
    dialect::Block,
    host_state::HostState,
    in_flight::ANSWERING_SPAN,
    server::AttemptTarget,
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
            record_content_crash(self, call, target, has_survived, *ended_at);
        }
    }

    /// Logs a change of what the host believes of a request content or a prompt part.
    pub(crate) fn log_block(&self, event: &str, block: Block, why: &str) {
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
            ..Decision::default()
        };
        self.log.write(Severity::Important, &decision);
    }
}
