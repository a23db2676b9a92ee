//! Commands that print counts from the stand-ins' records.

use super::ScriptRunner;
use crate::command::Arguments;
use crate::records;
use crate::wait::wait_until;

impl ScriptRunner {
    pub(super) async fn executions_at(&self, args: &Arguments<'_>) -> String {
        let count =
            records::executions_at(self.env(), args.required("endpoint"), args.optional("call"))
                .await;
        count.to_string()
    }

    /// Counts executions of a call; with `count=`, first waits for at least that many.
    pub(super) async fn executions(&self, args: &Arguments<'_>) -> String {
        let (env, call) = (self.env(), args.required("call"));
        let wanted = args.parsed("count", 0);
        let wait = wait_until(args.timeout(), || async move {
            (records::executions(env, call).await >= wanted).then_some(())
        });
        wait.await;
        records::executions(env, call).await.to_string()
    }

    pub(super) async fn of_version(&self, args: &Arguments<'_>) -> String {
        let (env, version) = (self.env(), &args.joined("version"));
        let Some(wanted) = args.optional("at_least") else {
            return records::executions_of_version(env, version)
                .await
                .to_string();
        };
        let wanted = wanted.parse().expect("`at_least` must be a number");
        let reached = wait_until(args.timeout(), || async move {
            (records::executions_of_version(env, version).await >= wanted).then_some(())
        });
        match reached.await {
            Some(()) => format!("at least {wanted}"),
            None => "not so within the bound".to_owned(),
        }
    }

    /// Counts the billing records for the idempotency key `call=`; with `count=`, first waits for
    /// at least that many.
    pub(super) async fn bills(&self, args: &Arguments<'_>) -> String {
        let (env, key) = (self.env(), args.required("call"));
        let wanted = args.parsed("count", 0);
        let wait = wait_until(args.timeout(), || async move {
            (records::billing_records(env, key).await >= wanted).then_some(())
        });
        wait.await;
        records::billing_records(env, key).await.to_string()
    }

    /// Counts the calls that an endpoint refused.
    pub(super) async fn refusals_at(&self, args: &Arguments<'_>) -> String {
        let count = records::refusals_at(self.env(), args.required("endpoint")).await;
        count.to_string()
    }
}
