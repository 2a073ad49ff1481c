//! Prompt parts that crash servers, as this host records them and tells its peers.

use clementinearch_policy::{
    part_evidence::{Merged, PartRow},
    time::Millis,
};

use crate::{
    call::Call, crash_records::crash_of, dialect::Block, gossip_event::GossipEvent,
    host_state::HostState, server::AttemptTarget,
};

impl Call {
    /// Ids of the prompt parts that other requests may share.
    pub(crate) fn shared_parts(&self) -> Vec<u64> {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or_else(Vec::new, |prompt| prompt.shared_parts().collect())
    }
}

impl HostState {
    /// Whether a part of the request's prompt is blocked because it crashes servers.
    pub(crate) fn has_blocked_part(&self, call: &Call) -> bool {
        let Some(prompt) = &call.head.prompt else {
            return false;
        };
        let evidence = self.part_evidence.lock();
        prompt.shared_parts().any(|part| evidence.is_blocked(part))
    }

    /// Records that a server crashed at `at` before it had survived the begin of its answer to a
    /// request, and tells peers.
    pub(crate) fn record_part_crash(&self, call: &Call, target: AttemptTarget<'_>, at: Millis) {
        let parts = call.shared_parts();
        if parts.is_empty() {
            return;
        }
        let crash = crash_of(target, at);
        let now = self.now();
        let mut evidence = self.part_evidence.lock();
        let newly_blocked = evidence.record_crash(parts.iter().copied(), crash, now);
        drop(evidence);
        self.enqueue_gossip(GossipEvent::PartEvidence(parts));
        for part in newly_blocked {
            let block = Block::Part(part);
            self.log_block("part_blocked", block, "own");
            self.stored_blocks.record_own(block);
        }
        self.excuse_explained_crashes();
    }

    /// Records that an answer, which began at `began_at`, went on.
    pub(crate) fn record_part_answer(&self, call: &Call, began_at: Millis) {
        let Some(prompt) = &call.head.prompt else {
            return;
        };
        let now = self.now();
        let mut evidence = self.part_evidence.lock();
        evidence.record_answer(prompt.shared_parts(), began_at, now);
    }

    /// Records what a peer knows of prompt parts. Returns rows on what it does not know.
    pub(crate) fn merge_part_rows(&self, rows: &[PartRow], now: Millis) -> Vec<PartRow> {
        if rows.is_empty() {
            return Vec::new();
        }
        let mut evidence = self.part_evidence.lock();
        let Merged {
            newly_blocked,
            answered_since,
        } = evidence.merge(rows, now);
        let reply = evidence.rows_on(&answered_since, now);
        drop(evidence);
        for part in newly_blocked {
            self.log_block("part_blocked", Block::Part(part), "peer");
        }
        self.excuse_explained_crashes();
        reply
    }

    /// Records that the store holds the block of a part.
    pub(crate) fn record_stored_part_block(&self, part: u64) {
        if self.part_evidence.lock().record_block(part, self.now()) {
            self.log_block("part_blocked", Block::Part(part), "store");
        }
    }

    /// Lets crashes of which a blocked part is the cause count against no content.
    fn excuse_explained_crashes(&self) {
        let explained = self.part_evidence.lock().explained_crashes().to_vec();
        self.crash_evidence.lock().excuse(&explained);
    }
}
