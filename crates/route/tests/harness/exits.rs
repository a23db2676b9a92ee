//! Script commands on processes that exit or shut down.

use route::Router;
use route::endpoint::Key;
use route::rollout::Scope;

use super::Script;
use crate::line::Line;

impl Script {
    /// Runs a command on process exits, quarantine, shutdown or cancellation. Other commands go to
    /// `run_evacuation_command`.
    pub(super) fn run_exit_command(&mut self, line: &Line<'_>) -> Option<String> {
        let now = self.now;
        match line.command {
            "ended" => Some(self.report_probes(|router, key| router.process_ended(now, key))),
            "stands" => Some(self.report_probes(Router::process_alive)),
            "held" => {
                let quarantine = self.router().quarantine();
                quarantine.expire(now);
                Some(format!("{} held", quarantine.len()))
            }
            "tell" => {
                let (from, to): (usize, usize) =
                    (line.args[0].parse().unwrap(), line.args[1].parse().unwrap());
                let update = self.hosts[from]
                    .quarantine()
                    .build_update(now, Scope::Delta);
                self.hosts[to].quarantine().apply_update(now, &update);
                None
            }
            "told-leaving" => {
                let in_flight = self.calls[line.args[0]].in_flight.as_ref().unwrap();
                let is_change = self.hosts[self.host].record_leaving(in_flight);
                Some(if is_change { "leaving" } else { "known" }.to_owned())
            }
            "leave" => {
                let open = self.calls.get_mut(line.args[0]).unwrap();
                let in_flight = open.in_flight.take().unwrap();
                self.hosts[self.host].cancel_attempt(now, in_flight);
                None
            }
            _ => Some(self.run_evacuation_command(line)),
        }
    }

    /// Reports the result of probing the endpoints to which connections broke, and returns
    /// their IDs.
    fn report_probes(&mut self, report: impl Fn(&mut Router, Key)) -> String {
        let candidates = self.router().take_probe_candidates();
        for (key, _, _) in &candidates {
            report(self.router(), *key);
        }
        let ids: Vec<_> = candidates.iter().map(|it| it.1.as_str()).collect();
        format!("asked {}", ids.join(" "))
    }
}
