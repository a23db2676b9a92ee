//! The running stand-ins of a settings file.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use kernel::Clock;

use crate::engine::Engine;
use crate::host_list::{Host, HostList};
use crate::objects::Objects;
use crate::plain_service::PlainService;
use crate::rating::Rating;
use crate::server::Server;
use crate::settings::{EngineSettings, PlainServiceSettings, Settings};
use crate::stand_in::StandIn;
use crate::table::Table;

/// Running stand-ins. Dropping this stops their accept loops.
#[derive(Debug, Default)]
pub struct RunningStandIns {
    servers: BTreeMap<String, Server>,
}

impl RunningStandIns {
    /// Starts all stand-ins. Engines and services are listed in every host list; entry hosts are
    /// added with `POST /control/hosts`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn start(clock: Arc<dyn Clock>, settings: Settings) -> io::Result<Self> {
        let mut started = Self::default();
        let mut hosts = Vec::new();
        let seed = settings.seed;
        for it in settings.table {
            started.add(&it.name, &it.address, Table::default()).await?;
        }
        for it in settings.objects {
            let objects = Objects::default();
            started.add(&it.name, &it.address, objects).await?;
        }
        for it in settings.rating {
            let rating = Rating::new(Arc::clone(&clock), &it, seed);
            started.add(&it.name, &it.address, rating).await?;
        }
        for it in settings.engine {
            let truth = settings.versions.clone();
            let engine = Engine::new(Arc::clone(&clock), it.clone(), truth, seed);
            let address = started.add(&it.name, &it.address, engine).await?;
            hosts.push(engine_host(it, address));
        }
        for it in settings.service {
            let plain = Box::new(PlainService::new(Arc::clone(&clock), it.clone(), seed));
            let address = started.add(&it.name, &it.address, plain).await?;
            hosts.push(service_host(it, address));
        }
        for it in settings.hosts {
            let lag = Duration::from_millis(it.lag_ms);
            let list = HostList::new(Arc::clone(&clock), lag, hosts.clone());
            started.add(&it.name, &it.address, list).await?;
        }
        Ok(started)
    }

    /// Returns the listening address of each stand-in by its name.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<&str, SocketAddr> {
        self.servers
            .iter()
            .map(|(name, it)| (name.as_str(), it.address))
            .collect()
    }

    async fn add(
        &mut self,
        name: &str,
        address: &str,
        stand_in: impl Into<StandIn>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let server = Server::start(listener, stand_in.into())?;
        let address = server.address;
        self.servers.insert(name.to_owned(), server);
        Ok(address)
    }
}

fn engine_host(engine: EngineSettings, address: SocketAddr) -> Host {
    Host {
        name: engine.name,
        kind: "engine".to_owned(),
        incarnation: engine.incarnation,
        address: address.to_string(),
        fleet_address: None,
        data_centre: engine.data_centre,
        region: engine.region,
        state: "live".to_owned(),
        service: None,
        versions: engine.versions,
        fences: engine.fences,
    }
}

fn service_host(plain: PlainServiceSettings, address: SocketAddr) -> Host {
    Host {
        name: plain.name,
        kind: "service".to_owned(),
        incarnation: plain.incarnation,
        address: address.to_string(),
        fleet_address: None,
        data_centre: plain.data_centre,
        region: plain.region,
        state: "live".to_owned(),
        service: Some(plain.service),
        versions: Vec::new(),
        fences: false,
    }
}
