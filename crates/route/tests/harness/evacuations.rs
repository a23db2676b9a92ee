//! Script commands on evacuations of data centres.

use route::evacuation::DataCentreAccess;
use route::{Evacuation, Revision};

use super::Script;
use crate::line::Line;

impl Script {
    /// Runs a command on evacuations of data centres.
    pub(super) fn run_evacuation_command(&mut self, line: &Line<'_>) -> String {
        let now = self.now;
        let at = Revision {
            era: line.number::<u64>("era", 0),
            version: line.number::<u64>("at", 1),
        };
        let evacuation = |data_centre: &str, version, access| Evacuation {
            data_centre: data_centre.into(),
            revision: Revision { version, ..at },
            access,
        };
        match line.command {
            "empty" => {
                let evacuation = evacuation(line.args[0], at.version, DataCentreAccess::Evacuated);
                let is_change = self.router().evacuate(now, evacuation);
                if is_change { "emptied" } else { "known" }.to_owned()
            }
            "take-back" => {
                let evacuation = evacuation(line.args[0], at.version, DataCentreAccess::Open);
                let is_change = self.router().evacuate(now, evacuation);
                if is_change { "taken back" } else { "known" }.to_owned()
            }
            "read" => {
                let emptied = line.args.iter().map(|it| {
                    let (data_centre, version) = it.split_once('@').unwrap();
                    evacuation(
                        data_centre,
                        version.parse().unwrap(),
                        DataCentreAccess::Evacuated,
                    )
                });
                let emptied = emptied.collect();
                let is_change = self.router().read_evacuations(now, at, emptied);
                if is_change { "changed" } else { "known" }.to_owned()
            }
            "go-out" => {
                let in_flight = self.calls[line.args[0]].in_flight.as_ref().unwrap();
                match self.hosts[self.host].permit(now, in_flight) {
                    Ok(_) => "goes out".to_owned(),
                    Err(why) => format!("withheld: {why}"),
                }
            }
            other => panic!("unknown command {other}"),
        }
    }
}
