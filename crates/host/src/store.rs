//! The port to the store in which everything lives that must last.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use link::keys::Authority;
use route::endpoint::Entry;
use route::{Config, Print, Revision};

use crate::{Documents, Judgement, Member};

/// The store in which everything lives that must last.
pub trait Store: 'static {
    /// Reads all documents as of one moment.
    fn documents(&self) -> impl Future<Output = Result<Documents, Trouble>>;

    /// How often the store has come back from an older copy, by its latest answer.
    fn era(&self) -> u64;

    /// Waits up to `wait` for documents that changed after `since`. The answer may be of
    /// another era; then it may lack some that did.
    fn changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Documents, Trouble>>;

    /// Understands the text of a configuration that another host passed on.
    ///
    /// # Errors
    /// [`Trouble::Unreadable`].
    fn config(&self, text: &[u8]) -> Result<Arc<Config>, Trouble>;

    /// What a host needs to find and trust the others. The store's authority is
    /// `made` if it had none.
    fn join(&self, made: Authority) -> impl Future<Output = Result<Joined, Trouble>>;

    /// Reads what roll-outs have come to, or waits for news of it.
    fn judgements(
        &self,
        since: Option<Revision>,
        wait: Duration,
    ) -> impl Future<Output = Result<Documents, Trouble>>;

    /// Reads the listing of endpoints.
    fn endpoints(&self) -> impl Future<Output = Result<Found<Entry>, Trouble>>;

    /// Reads the listing of hosts.
    fn members(&self) -> impl Future<Output = Result<Found<Member>, Trouble>>;

    /// Lists these hosts, or renews their entries.
    fn announce(&self, members: &[Member]) -> impl Future<Output = Result<(), Trouble>>;

    /// Takes these hosts off the list.
    fn withdraw(&self, members: &[Member]) -> impl Future<Output = Result<(), Trouble>>;

    /// Keeps requests that end endpoints, for hosts that start.
    fn hold(&self, prints: &[Print]) -> impl Future<Output = Result<(), Trouble>>;

    /// Keeps these no longer.
    fn release(&self, prints: &[Print]) -> impl Future<Output = Result<(), Trouble>>;

    /// Writes what a roll-out has come to, unless it was written since
    /// `judgement.revision`.
    fn judge(&self, judgement: &Judgement) -> impl Future<Output = Result<(), Trouble>>;
}

/// What a host needs to find and trust the others.
#[derive(Clone, Debug)]
pub struct Joined {
    /// By which hosts know each other.
    pub authority: Authority,
    /// The hosts that the store lists.
    pub members: Vec<Member>,
    /// Requests that end endpoints, as hosts have found before.
    pub held: Vec<Print>,
}

/// What the store lists, as far as it can be understood. Others may write there
/// too: one entry that can't be read must not hide those that can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found<T> {
    /// The entries that can be used.
    pub entries: Vec<T>,
    /// How many others there are.
    pub unusable: usize,
}

/// Why the store didn't do what it was asked.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum Trouble {
    /// It did nothing, and says so.
    #[display("refused")]
    Refused,
    /// No answer came; a write may have been done, or may yet be.
    #[display("no answer")]
    NoAnswer,
    /// The condition of a write doesn't hold.
    #[display("conflict")]
    Conflict,
    /// It no longer has the changes since the revision that was named.
    #[display("history gone")]
    HistoryGone,
    /// The answer can't be understood.
    #[display("unreadable answer")]
    Unreadable,
}
