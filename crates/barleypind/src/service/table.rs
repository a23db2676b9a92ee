//! The service that carries out the ledger's actions on the table and its messages to other
//! hosts.

use std::sync::Arc;

use async_std::channel::Sender;
use async_std::task;
use clients::row::{Key, Prefix};
use clients::{Condition, Error};
use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use ledger::table::{Expect, Page, Row, Transaction, Unavailable, Written};
use ledger::{Action, Event};
use serde_json::Value;

use crate::context::Context;
use crate::event::Event as Logged;
use crate::renew;
use crate::service::fleet;
use crate::service::ledger::LedgerEffect;

/// Carries out the ledger's actions until the ledger is dropped. Table operations run
/// concurrently; the ledger limits their number.
pub(crate) async fn run(
    cx: Arc<Context>,
    mut effects: UnboundedReceiver<LedgerEffect>,
    drained: Sender<()>,
) {
    while let Some(effect) = effects.next().await {
        match effect {
            LedgerEffect::Send(to, message) => {
                if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
                    // Dropped messages that matter are repeated by the ledger.
                    let _ = fleet.offer(fleet::Message::Ledger(to, message));
                }
            }
            LedgerEffect::Table(action) => {
                task::spawn(perform(Arc::clone(&cx), action));
            }
            LedgerEffect::Retire(fenced) if fenced == cx.host.incarnation() => renew::renew(&cx),
            LedgerEffect::Retire(_) => {}
            LedgerEffect::Drained => {
                let _ = drained.try_send(());
            }
        }
    }
}

async fn perform(cx: Arc<Context>, action: Action) {
    let event = match action {
        Action::Transact { op, transaction } => Event::Transacted {
            op,
            result: transact(&cx, transaction).await,
        },
        Action::Read { op, key } => Event::Read {
            op,
            result: read(&cx, &key).await,
        },
        Action::Scan {
            op,
            prefix,
            after,
            limit,
        } => Event::Scanned {
            op,
            result: scan(&cx, &prefix, &after, limit).await,
        },
        _ => return,
    };
    cx.ledger_handle.handle(event);
}

async fn transact(cx: &Context, wanted: Transaction) -> Written {
    let Some(transaction) = translate(&wanted) else {
        return Written::NotApplied;
    };
    match cx.table.transact(&transaction).await {
        Ok(_) => Written::Applied,
        Err(Error::Conflict { failed }) => Written::Failed {
            keys: failed.into_iter().map(|it| it.key).collect(),
        },
        Err(err) => {
            cx.host.metrics.platform_failed("table");
            cx.host.log.emit(Logged::BatchFailed, &[("cause", &err)]);
            match err {
                Error::NotApplied(_) => Written::NotApplied,
                _ => Written::Unknown,
            }
        }
    }
}

/// Converts a transaction into the table client's form. Returns `None` for content that the ledger
/// never writes: a key that isn't one of the rows in `docs/PROTOCOLS.md`, or a value that isn't
/// JSON.
fn translate(wanted: &Transaction) -> Option<clients::Transaction> {
    let mut transaction = clients::Transaction::default();
    for condition in &wanted.conditions {
        let key = Key::parse(&condition.key)?;
        transaction = transaction.when(match condition.expect {
            Expect::Absent => Condition::Absent(key),
            Expect::Version(version) => Condition::At(key, version.into()),
        });
    }
    for put in &wanted.puts {
        let value: Value = serde_json::from_str(&put.value).ok()?;
        transaction = transaction.put(&Key::parse(&put.key)?, &value);
    }
    for key in &wanted.deletes {
        transaction = transaction.delete(&Key::parse(key)?);
    }
    Some(transaction)
}

async fn read(cx: &Context, key: &str) -> Result<Option<Row>, Unavailable> {
    let key = Key::parse(key).ok_or(Unavailable)?;
    let row = cx.table.get(&key).await.map_err(|_| {
        cx.host.metrics.platform_failed("table");
        Unavailable
    })?;
    Ok(row.map(row_of))
}

async fn scan(cx: &Context, prefix: &str, after: &str, limit: usize) -> Result<Page, Unavailable> {
    let prefix = parse_prefix(prefix).ok_or(Unavailable)?;
    let after = Some(after).filter(|it| !it.is_empty());
    let page = cx.table.scan(prefix, after, limit).await.map_err(|_| {
        cx.host.metrics.platform_failed("table");
        Unavailable
    })?;
    Ok(Page {
        rows: page.rows.into_iter().map(row_of).collect(),
        more: page.more,
    })
}

fn row_of(row: clients::Row) -> Row {
    let value: Value = row.value().unwrap_or_default();
    Row {
        key: row.key,
        version: row.version.into(),
        value: value.to_string(),
    }
}

fn parse_prefix(text: &str) -> Option<Prefix> {
    let mut parts = text.split('/');
    match (parts.next()?, parts.next()?) {
        ("bill", "") => Some(Prefix::Bills),
        ("bill", incarnation) => Some(Prefix::BillsOf(
            incarnation.parse().map(kernel::Incarnation).ok()?,
        )),
        ("claim", "") => Some(Prefix::Claims),
        ("fence", "") => Some(Prefix::Fences),
        ("lease", "") => Some(Prefix::Leases),
        _ => None,
    }
}
