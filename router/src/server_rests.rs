//! Times for which servers want nothing from this host.

use clementinearch_policy::time::Millis;

use crate::{dialect::ResponseHead, host_state::HostState, server::Server};

impl HostState {
    /// Records the time of rest that a server asks for in a response at `now`.
    pub(crate) fn record_rest(&self, server: &Server, head: &ResponseHead, now: Millis) {
        if head.is_rest_unreadable {
            self.log_event("server_rest_unreadable", &server.entry.name, "", &[]);
            metrics::counter!("clementinearch_rests_total", "kind" => "unreadable").increment(1);
        }
        let Some(rest) = head.rest else {
            return;
        };
        let is_news = !server.is_resting(now);
        self.servers.record_rest(server, now.after(rest), now);
        if is_news {
            let inputs = [("rest_ms", rest.as_millis() as f64)];
            self.log_event("server_rests", &server.entry.name, "", &inputs);
            metrics::counter!("clementinearch_rests_total", "kind" => "kept").increment(1);
        }
    }

    /// Number of servers that want nothing from this host now.
    pub(crate) fn resting_servers(&self, now: Millis) -> usize {
        let servers = self.servers.all();
        servers.iter().filter(|it| it.is_resting(now)).count()
    }
}
