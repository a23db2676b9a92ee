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
    BadKey, 204, Warning, "A call had an unknown bearer key.";

    RevisionInForce, 300, Info, "A configuration is in force.";
    LowerRevision, 301, Warning, "A lower revision was received and ignored.";
    ConfigUnreadable, 302, Error, "The committed configuration is malformed and ignored.";
    ConfigStale, 303, Warning, "There is no recent proof that the configuration is the newest.";
    ConfigFresh, 304, Info, "There is again a recent proof that the configuration is the newest.";
    ChangeCommitted, 305, Info, "An operator's change was committed.";
    ChangeConflict, 306, Info, "An operator's change conflicted with another one.";
    ChangeUnknown, 307, Warning, "It is unknown whether an operator's change was committed.";

    StoreOut, 400, Warning, "The table service doesn't respond.";
    StoreBack, 401, Info, "The table service responds again.";
    HostListOut, 402, Warning, "The host list doesn't respond; the last one received is used.";
    RatingsOut, 403, Warning, "The rating service doesn't respond.";

    MemberUp, 500, Info, "Another entry host is alive.";
    MemberLeaving, 501, Info, "Another entry host is draining.";
    MemberDown, 502, Warning, "Another entry host is unreachable or dead.";
    Stranger, 504, Warning, "Frames or connections of unauthenticated peers were dropped.";
    BadFrame, 505, Warning, "A malformed frame was dropped.";

    EndpointUp, 600, Info, "An endpoint accepts requests.";
    EndpointLeaving, 601, Info, "An endpoint is leaving and accepts no new requests.";
    EndpointDown, 602, Warning, "An endpoint doesn't report its load.";
    AttemptFailed, 603, Info, "An attempt failed.";
    VersionVerdict, 604, Warning, "The verdict on a version changed.";

    RecordAlone, 701, Warning, "A billing record is on this host alone until it is in the table.";
    BatchFailed, 703, Warning, "A table transaction of the ledger failed.";

    RolloutStep, 800, Info, "A roll-out advanced or went back by a step.";
    RolloutEnded, 801, Info, "A roll-out ended.";
    LeaseTaken, 802, Info, "This host acquired a lease.";
    LeaseLost, 803, Warning, "This host lost a lease.";
    OrderFailed, 804, Warning, "An endpoint rejected an order or couldn't be reached.";
}
