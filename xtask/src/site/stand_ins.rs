//! The stand-ins' process and its controls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt, ensure};
use fakes::{Execution, Host, ServiceExecution};
use http::{Client, Options, Request};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::Error;
use crate::reconcile::Bill;
use crate::site::{Process, log_file, write};

const RECORDS_LIMIT: usize = 256 << 20;

/// The running stand-ins.
pub struct StandIns {
    /// Where each listens, by its name.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Their process.
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

/// The table's counts and rows.
#[derive(Clone, Debug, Deserialize)]
pub struct TableRecords {
    /// How many reads there were.
    pub reads: u64,
    /// How many writes there were.
    pub writes: u64,
    /// All rows.
    pub rows: Vec<Row>,
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
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
        let ready = process.ready_line()?;
        let addresses = serde_json::from_str(&ready).change_context(Error::StandIn)?;
        Ok(Self {
            addresses,
            process,
            client,
            engines: settings.engine.iter().map(|it| it.name.clone()).collect(),
            services: settings.service.iter().map(|it| it.name.clone()).collect(),
        })
    }

    /// The address of a stand-in.
    ///
    /// # Panics
    /// When the settings name no such stand-in.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Switches faults of a stand-in.
    ///
    /// # Errors
    /// When the stand-in knows no such fault.
    pub async fn fault(&self, name: &str, faults: &Value) -> Result<(), Report<Error>> {
        let request = Request::post("/control/faults", faults);
        self.send(name, request).await.map(drop)
    }

    /// Enters an entry host into the host list.
    ///
    /// # Errors
    /// When the host list does not take it.
    pub async fn register(&self, host: &Host) -> Result<(), Report<Error>> {
        let request = Request::post("/control/hosts", &json!({"hosts": [host]}));
        self.send("hosts", request).await.map(drop)
    }

    /// Takes a host off the host list.
    ///
    /// # Errors
    /// When the host list does not take it.
    pub async fn unregister(&self, name: &str) -> Result<(), Report<Error>> {
        let request = Request::post("/control/hosts", &json!({"remove": [name]}));
        self.send("hosts", request).await.map(drop)
    }

    /// What all engines executed.
    ///
    /// # Errors
    /// When an engine does not give its record.
    pub async fn executions(&self) -> Result<Vec<Execution>, Report<Error>> {
        let mut executions = Vec::new();
        for name in &self.engines {
            let records: EngineRecords = self.records(name).await?;
            executions.extend(records.executions);
        }
        Ok(executions)
    }

    /// What all plain services executed.
    ///
    /// # Errors
    /// When a service does not give its record.
    pub async fn runs(&self) -> Result<Vec<ServiceExecution>, Report<Error>> {
        let mut runs = Vec::new();
        for name in &self.services {
            let records: PlainRecords = self.records(name).await?;
            runs.extend(records.runs);
        }
        Ok(runs)
    }

    /// The table's counts and rows.
    ///
    /// # Errors
    /// When the table does not give its record.
    pub async fn table(&self) -> Result<TableRecords, Report<Error>> {
        self.records("table").await
    }

    /// The billing records in the table.
    ///
    /// # Errors
    /// When the table does not give its record.
    pub async fn bills(&self) -> Result<Vec<Bill>, Report<Error>> {
        let table = self.table().await?;
        let is_bill = |it: &&Row| it.key.starts_with("bill/");
        let rows = table.rows.iter().filter(is_bill);
        Ok(rows.flat_map(|it| Bill::within(&it.value)).collect())
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
            .collect(RECORDS_LIMIT)
            .await
            .change_context(Error::StandIn)?;
        ensure!(
            is_success,
            Report::new(Error::StandIn).attach(String::from_utf8_lossy(&body).into_owned())
        );
        Ok(body)
    }
}
