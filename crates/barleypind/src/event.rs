//! The numbered events of the log.

use telemetry::events;

events! {
    "What the daemon logs. Numbers are never reused; the catalogue is `docs/reference/events.md`.";

    Started, 100, Info, "The host started.";
    Listening, 101, Info, "The host takes calls at this address.";
    Ready, 102, Info, "The host is ready for work.";
    Stopping, 103, Info, "The host was asked to drain.";
    Drained, 104, Info, "All work has ended and all records are handed over.";
    DrainBound, 105, Error, "The drain reached its bound with work or records left.";

    Refused, 200, Debug, "A call was refused.";
    Answered, 201, Debug, "A call was answered.";
    CallerGone, 202, Info, "A caller left before its answer was whole.";
    AnswerCut, 203, Warning, "A stream that had begun was ended with an error.";
    BadKey, 204, Warning, "A call came with a key that belongs to nobody.";

    RevisionInForce, 300, Info, "A configuration is in force.";
    LowerRevision, 301, Warning, "A lower revision was offered and not taken.";
    ConfigUnreadable, 302, Error, "The committed configuration can't be read; the one in force stays.";
    ConfigStale, 303, Warning, "There is no recent proof that the configuration is the newest.";
    ConfigFresh, 304, Info, "The configuration is proved to be the newest again.";
    ChangeCommitted, 305, Info, "An operator's change was committed.";
    ChangeConflict, 306, Info, "An operator's change met another one and was not made.";
    ChangeUnknown, 307, Warning, "It is not known whether an operator's change was committed.";

    StoreOut, 400, Warning, "The table service does not answer.";
    StoreBack, 401, Info, "The table service answers again.";
    HostListOut, 402, Warning, "The host list does not answer; the last one is used.";
    RatingsOut, 403, Warning, "The rating service does not answer.";

    MemberUp, 500, Info, "Another entry host is known to live.";
    MemberLeaving, 501, Info, "Another entry host is leaving.";
    MemberDown, 502, Warning, "Another entry host is not heard from any more.";
    Stranger, 504, Warning, "A frame without the right key was dropped.";
    BadFrame, 505, Warning, "A frame that can't be read was dropped.";

    EndpointUp, 600, Info, "An endpoint takes work.";
    EndpointLeaving, 601, Info, "An endpoint takes no new work.";
    EndpointDown, 602, Warning, "An endpoint does not report its load.";
    AttemptFailed, 603, Info, "An attempt failed.";
    VersionVerdict, 604, Warning, "A version's health was judged anew.";

    RecordAlone, 701, Warning, "A billing record has no partner; it waits for the table here alone.";
    BatchFailed, 703, Warning, "A batch of billing records is not in the table yet.";

    RolloutStep, 800, Info, "A roll-out made a step.";
    RolloutEnded, 801, Info, "A roll-out ended.";
    LeaseTaken, 802, Info, "This host took a lease.";
    LeaseLost, 803, Warning, "This host lost a lease.";
    OrderFailed, 804, Warning, "An endpoint did not take an order.";
}
