//! The daemon, which starts all services.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::channel::{Receiver, bounded};
use async_std::task;
use clients::{Circuit, HostList, Ratings, Service, Table};
use config::Settings;
use error_stack::{Report, ResultExt};
use http::{Options, Server};
use kernel::{Clock, Incarnation};
use link::Link;
use wire::{Identity, Member, State};

use crate::context::Context;
use crate::error::Error;
use crate::event::Event;
use crate::gauges::LinkRejections;
use crate::host::Host;
use crate::log::Log;
use crate::secrets::Secrets;
use crate::service::decide::DeciderHandle;
use crate::service::drain::{self, DrainOutcome, Resources};
use crate::service::endpoints::{self, Endpoints};
use crate::service::ledger::LedgerHandle;
use crate::service::{decider_effects, fleet, rate, rollout, table, watch};
use crate::verdicts::Verdicts;
use crate::{caller_api, operator_api, renew, tuning};

/// A running daemon.
pub struct Daemon {
    host: Arc<Host>,
    callers: SocketAddr,
    operators: SocketAddr,
    fleet: SocketAddr,
    ended: Receiver<DrainOutcome>,
}

impl Daemon {
    /// Starts all services.
    ///
    /// # Errors
    /// Returns [`Error`] if a key can't be used, the link can't be set up or an address can't be
    /// bound.
    pub async fn start(
        settings: Settings,
        log: Log,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, Report<Error>> {
        let secrets = Secrets::read(&settings.keys)?;
        let incarnation = renew::incarnation(clock.wall(), Incarnation(0));
        let link_settings = link::Settings::new(settings.listen.fleet, secrets.fleet.clone());
        let (link, frames) = Link::bind(&link_settings).change_context(Error::Link)?;
        let fleet_address = link.address().change_context(Error::Link)?;
        let host = Arc::new(Host::new(settings, secrets, clock, log, incarnation));
        let fleet_queue = host.registry.register::<fleet::Fleet>();
        let rate_queue = host.registry.register::<rate::Rate>();
        let rollout_queue = host.registry.register::<rollout::Rollout>();
        let drain_queue = host.registry.register::<drain::Drain>();

        let (decider, decider_effects_receiver) = DeciderHandle::new(
            Arc::clone(&host),
            incarnation.0,
            tuning::decide(&host.settings),
        );
        let (ledger_handle, ledger_effects) =
            LedgerHandle::new(Arc::clone(&host), tuning::ledger(&host.settings));
        let cx = context(&host, decider, ledger_handle, link.clone());

        let servers = listen(&cx).await?;
        let callers = servers[0].address();
        let operators = servers.last().map_or(callers, Server::address);
        let core = ::fleet::Fleet::new(
            local_member(&host, callers, fleet_address),
            incarnation.0,
            tuning::fleet(&host.settings),
        );
        let (drained_sender, drained) = bounded(1);
        let (ended_sender, ended) = bounded(1);
        task::spawn(fleet::run(Arc::clone(&cx), core, fleet_queue));
        task::spawn(fleet::receive(Arc::clone(&cx), frames));
        task::spawn(table::run(Arc::clone(&cx), ledger_effects, drained_sender));
        task::spawn(decider_effects::run(
            Arc::clone(&cx),
            decider_effects_receiver,
        ));
        task::spawn(decider_effects::tick(Arc::clone(&cx)));
        task::spawn(rollout::run(Arc::clone(&cx), rollout_queue));
        task::spawn(rate::submit(Arc::clone(&cx), rate_queue));
        task::spawn(rate::collect(Arc::clone(&cx)));
        task::spawn(watch_list(&cx));
        task::spawn(watch::run(Arc::clone(&cx)));
        task::spawn(endpoints::watch_load(
            Arc::clone(&host),
            Arc::clone(&cx.endpoints),
        ));
        let resources = Resources {
            servers,
            drained,
            ended: ended_sender,
        };
        task::spawn(drain::run(Arc::clone(&cx), drain_queue, resources));
        host.log.emit(
            Event::Started,
            &[
                ("host", &host.settings.host.name),
                ("incarnation", &incarnation),
            ],
        );
        for address in [callers, operators, fleet_address] {
            host.log.emit(Event::Listening, &[("address", &address)]);
        }
        Ok(Self {
            host,
            callers,
            operators,
            fleet: fleet_address,
            ended,
        })
    }

    /// Returns the address on which callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which operators connect.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address on which other hosts connect.
    #[must_use]
    pub fn fleet(&self) -> SocketAddr {
        self.fleet
    }

    /// Requests a drain. [`Daemon::ended`] returns once it has ended.
    pub fn drain(&self) {
        drain::begin(&self.host);
    }

    /// Waits until the drain has ended, complete or at its time limit.
    pub async fn ended(&self) -> DrainOutcome {
        self.ended
            .recv()
            .await
            .unwrap_or(DrainOutcome::LimitReached)
    }
}

fn context(
    host: &Arc<Host>,
    decider: Arc<DeciderHandle>,
    ledger_handle: Arc<LedgerHandle>,
    link: Link,
) -> Arc<Context> {
    let settings = &host.settings;
    let options = Options {
        connect: settings.platform.connect,
        first_byte: settings.platform.request,
        total: settings.platform.request,
        retry_policy: http::RetryPolicy::Never,
    };
    let service = |address: SocketAddr| {
        let circuit = Circuit::new(host.incarnation().0, clients::Tuning::default());
        Service::new(
            host.http.clone(),
            address,
            Arc::clone(&host.clock),
            options,
            circuit,
        )
    };
    let engine = engine::Client::new(host.http.clone());
    let endpoints = Endpoints::new(Arc::clone(host), Arc::clone(&decider), engine.clone());
    Arc::new(Context {
        decider,
        ledger_handle,
        endpoints: Arc::new(endpoints),
        engine,
        link,
        link_rejections: LinkRejections::default(),
        verdicts: Verdicts::default(),
        backlog: Mutex::default(),
        table: Table::new(service(settings.platform.table)),
        ratings: Ratings::new(service(settings.platform.ratings)),
        host_list: HostList::new(service(settings.platform.host_list)),
        host: Arc::clone(host),
    })
}

/// Binds the servers for callers and operators: one server for both if the settings give them the
/// same address with a port other than 0.
async fn listen(cx: &Arc<Context>) -> Result<Vec<Server>, Report<Error>> {
    let settings = &cx.host.settings.listen;
    let limits = tuning::http(&cx.host.settings);
    let bind = async |address: SocketAddr, audience: Audience| {
        let cx = Arc::clone(cx);
        Server::bind(address, limits, move |request| {
            serve(Arc::clone(&cx), audience, request)
        })
        .await
        .change_context(Error::Listen(address))
    };
    if settings.callers == settings.operators && settings.callers.port() != 0 {
        return Ok(vec![bind(settings.callers, Audience::Both).await?]);
    }
    let callers = bind(settings.callers, Audience::Callers).await?;
    let operators = bind(settings.operators, Audience::Operators).await?;
    Ok(vec![callers, operators])
}

/// The clients that a server accepts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Audience {
    Callers,
    Operators,
    Both,
}

async fn serve(cx: Arc<Context>, audience: Audience, request: http::Request) -> http::Response {
    let operator = request.target.starts_with("/operator/");
    match (audience, operator) {
        (Audience::Operators, _) | (Audience::Both, true) => operator_api::serve(cx, request).await,
        (Audience::Callers | Audience::Both, _) => caller_api::serve(cx, request).await,
    }
}

fn local_member(host: &Host, address: SocketAddr, fleet_address: SocketAddr) -> Member {
    Member {
        identity: Identity {
            host: host.settings.host.name.clone(),
            incarnation: host.incarnation(),
        },
        refutation: 0,
        state: State::Alive,
        fleet_address,
        address,
        data_centre: host.settings.host.data_centre.clone(),
        region: host.settings.host.region.clone(),
    }
}

fn watch_list(cx: &Arc<Context>) -> impl Future<Output = ()> + Send + use<> {
    let callback_cx = Arc::clone(cx);
    endpoints::watch_list(
        Arc::clone(&cx.host),
        cx.host_list.clone(),
        Arc::clone(&cx.endpoints),
        move |entries| {
            let hosts = fleet::member_records(entries);
            fleet::send_event(&callback_cx, ::fleet::Event::Hosts(hosts));
        },
    )
}
