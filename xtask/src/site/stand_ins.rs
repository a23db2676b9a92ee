//! The process of the stand-ins and its control API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt, ensure};
use fakes::{Execution, Host, ServiceExecution};
use http::{Client, Options, Request};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::Error;
use crate::reconcile::BillingRecord;
use crate::site::{Process, log_file, write};

/// Maximum size of a response body in bytes.
const BODY_LIMIT: usize = 256 << 20;

/// The running stand-ins.
pub struct StandIns {
    /// The address of each stand-in by name.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// The process of all stand-ins.
    pub process: Process,
    client: Client,
    engines: Vec<String>,
    services: Vec<String>,
}

#[derive(Deserialize)]
struct EngineRecords {
    executions: Vec<Execution>,
}

#[derive(Deserialize)]
struct PlainRecords {
    runs: Vec<ServiceExecution>,
}

/// The rows of the table service and its numbers of operations.
#[derive(Clone, Debug, Deserialize)]
pub struct TableRecords {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
    /// All rows.
    pub rows: Vec<Row>,
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The value of the row.
    pub value: Value,
}

impl StandIns {
    pub(crate) fn start(
        program: &Path,
        dir: &Path,
        settings: &fakes::Settings,
        client: Client,
    ) -> Result<Self, Report<Error>> {
        let text = toml::to_string(settings).change_context(Error::Site)?;
        let path = write(dir, "fakes.toml", &text)?;
        let mut process = Process::start(program, &path, log_file(dir, "fakes")?)?;
        let ready = process.wait_for_ready_line()?;
        let addresses = serde_json::from_str(&ready).change_context(Error::StandIn)?;
        Ok(Self {
            addresses,
            process,
            client,
            engines: settings.engine.iter().map(|it| it.name.clone()).collect(),
            services: settings.service.iter().map(|it| it.name.clone()).collect(),
        })
    }

    /// Returns the address of a stand-in.
    ///
    /// # Panics
    /// If the settings contain no stand-in of this name.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Changes the injected faults of a stand-in that `faults` names. The others stay.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the stand-in can't be reached or refuses the faults.
    pub async fn set_faults(&self, name: &str, faults: &Value) -> Result<(), Report<Error>> {
        let request = Request::post("/control/faults", faults);
        self.send(name, request).await.map(drop)
    }

    /// Adds an entry host to the host list.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the host list can't be reached or refuses the change.
    pub async fn register(&self, host: &Host) -> Result<(), Report<Error>> {
        let request = Request::post("/control/hosts", &json!({"hosts": [host]}));
        self.send("hosts", request).await.map(drop)
    }

    /// Removes a host from the host list.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the host list can't be reached or refuses the change.
    pub async fn unregister(&self, name: &str) -> Result<(), Report<Error>> {
        let request = Request::post("/control/hosts", &json!({"remove": [name]}));
        self.send("hosts", request).await.map(drop)
    }

    /// Returns the executions of all engines.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the records of an engine can't be read.
    pub async fn executions(&self) -> Result<Vec<Execution>, Report<Error>> {
        let mut executions = Vec::new();
        for name in &self.engines {
            let records: EngineRecords = self.records(name).await?;
            executions.extend(records.executions);
        }
        Ok(executions)
    }

    /// Returns the executions of all plain services.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the records of a service can't be read.
    pub async fn service_executions(&self) -> Result<Vec<ServiceExecution>, Report<Error>> {
        let mut executions = Vec::new();
        for name in &self.services {
            let records: PlainRecords = self.records(name).await?;
            executions.extend(records.runs);
        }
        Ok(executions)
    }

    /// Returns the rows and operation counts of the table service.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the records of the table can't be read.
    pub async fn table(&self) -> Result<TableRecords, Report<Error>> {
        self.records("table").await
    }

    /// Returns the billing records in the table.
    ///
    /// # Errors
    /// [`Error::StandIn`] if the records of the table can't be read.
    pub async fn billing_records(&self) -> Result<Vec<BillingRecord>, Report<Error>> {
        let table = self.table().await?;
        let is_billing_record = |it: &&Row| it.key.starts_with("bill/");
        let rows = table.rows.iter().filter(is_billing_record);
        Ok(rows
            .flat_map(|it| BillingRecord::find_in(&it.value))
            .collect())
    }

    async fn records<T: for<'de> Deserialize<'de>>(&self, name: &str) -> Result<T, Report<Error>> {
        let body = self.send(name, Request::get("/control/records")).await?;
        serde_json::from_slice(&body).change_context(Error::StandIn)
    }

    async fn send(&self, name: &str, request: Request) -> Result<Vec<u8>, Report<Error>> {
        let res = self
            .client
            .send(self.address(name), request, &Options::default())
            .await
            .change_context(Error::StandIn)
            .attach_with(|| name.to_owned())?;
        let is_success = res.status.is_success();
        let body = res
            .body
            .collect(BODY_LIMIT)
            .await
            .change_context(Error::StandIn)?;
        ensure!(
            is_success,
            Report::new(Error::StandIn).attach(String::from_utf8_lossy(&body).into_owned())
        );
        Ok(body)
    }
}
