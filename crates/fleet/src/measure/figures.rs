//! The results of a measurement.

use std::time::Duration;

use derive_more::Display;

/// The results for one fleet size.
///
/// Byte counts include the overhead of the transport, and cover sent and
/// received frames together unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
#[display(
    "{hosts:>4} hosts  {bytes_mean:>6.0} B/s mean {bytes_max:>6.0} max \
     (probes {probe_bytes:>4.0} news {news_bytes:>4.0} evidence {evidence_bytes:>5.0})  document {document_mean:>6.0} B/change  {frames:>5.1} frames/s  {peers_max:>3} peers  \
     {:>5.3}% core  {state_bytes:>7} B state  revision {:>5.2} s mean {:>5.2} s max  \
     proof {:>4.1} s max  suspicion {:>4.1} s  detection {:>4.1} s  \
     false suspicions {false_suspicions} deaths {false_deaths}  reads {table_reads:.1}/s",
    processor * 100.0, revision_mean.as_secs_f64(), revision_max.as_secs_f64(),
    proof_age_max.as_secs_f64(), suspicion_max.as_secs_f64(), detection_max.as_secs_f64()
)]
pub struct Figures {
    /// The number of hosts.
    pub hosts: usize,
    /// Mean bytes per second and host, without configuration documents.
    pub bytes_mean: f64,
    /// Bytes per second of the busiest host, without configuration documents.
    pub bytes_max: f64,
    /// The part of `bytes_mean` used by probes and their responses.
    pub probe_bytes: f64,
    /// The part of `bytes_mean` used by gossip updates and view comparisons.
    pub news_bytes: f64,
    /// The part of `bytes_mean` used by evidence.
    pub evidence_bytes: f64,
    /// Mean bytes per host used to distribute the document of one configuration change.
    pub document_mean: f64,
    /// Mean frames sent per second and host.
    pub frames: f64,
    /// The largest number of peers to or from which a host's frames went, which is its
    /// number of connections.
    pub peers_max: usize,
    /// Mean share of a processor core used per host by the membership core and the
    /// codec.
    pub processor: f64,
    /// The largest size in bytes of a host's [`Fleet`](crate::Fleet) with its
    /// membership and announcement records.
    pub state_bytes: usize,
    /// Mean time from a commit until the revision is in force on all hosts. A
    /// revision that wasn't by the end counts as [`Duration::MAX`].
    pub revision_mean: Duration,
    /// Longest time from a commit until the revision is in force on all hosts, or
    /// [`Duration::MAX`] if a revision wasn't by the end.
    pub revision_max: Duration,
    /// The highest age of a host's proof that its revision is the newest, or
    /// [`Duration::MAX`] if a host had no proof at some time.
    pub proof_age_max: Duration,
    /// Longest time from a kill until a host suspects the killed one, and so
    /// omits it from hand-outs. Zero if no host suspected it.
    pub suspicion_max: Duration,
    /// Longest time from a kill until a host considers the killed one unreachable or dead.
    /// Zero if no host did.
    pub detection_max: Duration,
    /// The number of times that a live host was suspected. Suspicions of a host
    /// that fall into the same interval of 50 ms count once.
    pub false_suspicions: usize,
    /// The number of times that a live host was declared unreachable or dead, counted
    /// likewise.
    pub false_deaths: usize,
    /// Reads of the table per second by all hosts together.
    pub table_reads: f64,
}
