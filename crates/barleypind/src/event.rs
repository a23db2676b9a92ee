//! The numbered events of the log.

use telemetry::events;

events! {
    "The daemon's events. Numbers are never reused; the catalogue is `docs/reference/events.md`.";

    Started, 100, Info, "The host started.";
    Listening, 101, Info, "The host listens on this address.";
    Ready, 102, Info, "The host is ready for calls.";
    Stopping, 103, Info, "The host starts to drain.";
    Drained, 104, Info, "The drain is complete; no calls or records are left.";
    DrainBound, 105, Error, "The drain reached its time limit with calls or records left.";

    Refused, 200, Debug, "A call was refused.";
    Answered, 201, Debug, "A call was completed.";
    CallerGone, 202, Info, "A caller disconnected before its response was complete.";
    AnswerCut, 203, Warning, "A response stream was ended with an error.";
    BadKey, 204, Warning, "A request had an unknown bearer key.";

    RevisionInForce, 300, Info, "A configuration is in force.";
    LowerRevision, 301, Warning, "A lower revision was received and ignored.";
    ConfigUnreadable, 302, Error, "The committed configuration is malformed and ignored.";
    ConfigStale, 303, Warning, "There is no recent proof that the configuration is the newest.";
    ConfigFresh, 304, Info, "There is a recent proof that the configuration is the newest.";
    ChangeCommitted, 305, Info, "A configuration change was committed.";
    ChangeConflict, 306, Info, "A configuration change conflicted with another one.";
    ChangeUnknown, 307, Warning, "It is unknown whether a configuration change was committed.";

    StoreOut, 400, Warning, "The table service doesn't respond.";
    StoreBack, 401, Info, "The table service responds again.";
    HostListOut, 402, Warning, "The host list doesn't respond; the last one received is used.";
    RatingsOut, 403, Warning, "The rating service doesn't respond.";

    MemberUp, 500, Info, "Another entry host is alive.";
    MemberLeaving, 501, Info, "Another entry host is draining.";
    MemberDown, 502, Warning, "Another entry host is unreachable or dead.";
    Stranger, 504, Warning, "The link rejected frames or connections.";
    BadFrame, 505, Warning, "A malformed or misattributed frame was dropped.";

    EndpointUp, 600, Info, "An endpoint is newly listed or reports its load again.";
    EndpointLeaving, 601, Info, "An endpoint is leaving or gone and gets no new requests.";
    EndpointDown, 602, Warning, "An endpoint doesn't report its load.";
    AttemptFailed, 603, Info, "An attempt failed.";
    VersionVerdict, 604, Warning, "A version's verdict changed, or it is used as a last resort.";

    RecordAlone, 701, Warning, "A billing record is on this host alone until it is in the table.";
    BatchFailed, 703, Warning, "A transaction of the ledger failed or its outcome is unknown.";

    RolloutStep, 800, Info, "A roll-out advanced or went back by a step.";
    RolloutEnded, 801, Info, "A roll-out ended.";
    LeaseTaken, 802, Info, "This host acquired a lease.";
    LeaseLost, 803, Warning, "This host lost a lease.";
    OrderFailed, 804, Warning, "An order to an endpoint was rejected, failed or timed out.";
}
