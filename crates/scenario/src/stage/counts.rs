//! Commands that print counts from the stand-ins' records.

use super::Stage;
use crate::command::Arguments;
use crate::limit::until;
use crate::records;

impl Stage {
    pub(super) async fn executions_at(&self, args: &Arguments<'_>) -> String {
        let count = records::at(self.world(), args.one("endpoint"), args.maybe("call")).await;
        count.to_string()
    }

    /// Counts executions of a call; with `count=`, first waits for at least that many.
    pub(super) async fn executions(&self, args: &Arguments<'_>) -> String {
        let (world, call) = (self.world(), args.one("call"));
        let wanted = args.parsed("count", 0);
        let wait = until(args.within(), || async move {
            (records::executions(world, call).await >= wanted).then_some(())
        });
        wait.await;
        records::executions(world, call).await.to_string()
    }

    pub(super) async fn of_version(&self, args: &Arguments<'_>) -> String {
        let (world, version) = (self.world(), &args.joined("version"));
        let Some(wanted) = args.maybe("at_least") else {
            return records::of_version(world, version).await.to_string();
        };
        let wanted = wanted.parse().expect("`at_least` must be a number");
        let reached = until(args.within(), || async move {
            (records::of_version(world, version).await >= wanted).then_some(())
        });
        match reached.await {
            Some(()) => format!("at least {wanted}"),
            None => "not so within the bound".to_owned(),
        }
    }

    /// Counts billing records of a call; with `count=`, first waits for at least that many.
    pub(super) async fn bills(&self, args: &Arguments<'_>) -> String {
        let (world, key) = (self.world(), args.one("call"));
        let wanted = args.parsed("count", 0);
        let wait = until(args.within(), || async move {
            (records::bills(world, key).await >= wanted).then_some(())
        });
        wait.await;
        records::bills(world, key).await.to_string()
    }

    /// Counts the calls that an endpoint refused.
    pub(super) async fn refusals_at(&self, args: &Arguments<'_>) -> String {
        let count = records::refusals_at(self.world(), args.one("endpoint")).await;
        count.to_string()
    }
}
