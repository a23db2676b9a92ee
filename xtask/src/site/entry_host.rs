//! Entry hosts of the site.

use std::net::SocketAddr;

use error_stack::Report;
use toml::{Table, toml};

use crate::error::Error;
use crate::site::{Process, Site, free_tcp, free_udp, log_file, write};

/// The region of all data centres of a site.
const REGION: &str = "local";

/// A running `barleypind`.
pub struct EntryHost {
    /// The name of the host.
    pub name: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The UDP address for other hosts.
    pub fleet: SocketAddr,
    /// The process of the host.
    pub process: Process,
}

impl EntryHost {
    pub(crate) fn start(site: &Site, name: &str, data_centre: &str) -> Result<Self, Report<Error>> {
        let dir = site.dir.path();
        let (callers, operators, fleet) = (free_tcp()?, free_tcp()?, free_udp()?);
        site.authority.issue(dir, name)?;
        let mut settings = settings(site, name);
        settings.extend(site.settings.clone());
        insert(&mut settings, "host", "name", name);
        insert(&mut settings, "host", "data_centre", data_centre);
        insert(&mut settings, "listen", "callers", &callers.to_string());
        insert(&mut settings, "listen", "operators", &operators.to_string());
        insert(&mut settings, "listen", "fleet", &fleet.to_string());
        let path = write(dir, &format!("{name}.toml"), &settings.to_string())?;
        let process = Process::start(&site.binaries.daemon, &path, log_file(dir, name)?)?;
        Ok(Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers,
            operators,
            fleet,
            process,
        })
    }

    /// Returns the host's entry in the host list.
    #[must_use]
    pub fn host_list_entry(&self) -> fakes::Host {
        fakes::Host {
            name: self.name.clone(),
            kind: "entry".to_owned(),
            incarnation: 1,
            address: self.callers.to_string(),
            fleet_address: Some(self.fleet.to_string()),
            data_centre: self.data_centre.clone(),
            region: REGION.to_owned(),
            state: "live".to_owned(),
            service: None,
            versions: Vec::new(),
            fences: false,
        }
    }
}

fn settings(site: &Site, name: &str) -> Table {
    let mut settings = toml! {
        [host]
        region = "local"
        drain_limit_s = 20
        [listen]
        [platform]
        host_list_poll_ms = 200
        ratings_poll_ms = 200
        [keys]
        [log]
        level = "info"
        format = "text"
        [limits]
        hosts_keep_ms = 1000
        [freshness]
        bound_ms = 3000
        poll_ms = 200
    };
    let platform = [
        ("table", "table"),
        ("objects", "objects"),
        ("host_list", "hosts"),
        ("ratings", "rating"),
    ];
    for (key, stand_in) in platform {
        let address = site.stand_ins.address(stand_in).to_string();
        insert(&mut settings, "platform", key, &address);
    }
    let keys = [
        ("fleet_ca", "ca.pem".to_owned()),
        ("host_certificate", format!("{name}.pem")),
        ("host_key", format!("{name}.key.pem")),
        ("operator_key", "operator.key".to_owned()),
        ("session_key", "session.key".to_owned()),
    ];
    for (key, file) in keys {
        let path = site.dir.path().join(file).display().to_string();
        insert(&mut settings, "keys", key, &path);
    }
    settings
}

fn insert(settings: &mut Table, section: &str, key: &str, value: &str) {
    let section = settings
        .entry(section)
        .or_insert_with(|| Table::new().into());
    if let Some(section) = section.as_table_mut() {
        section.insert(key.to_owned(), value.into());
    }
}
