//! The kinds of work in the workload.

use derive_more::Display;

/// One kind of work of the two organisations.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Classification of a clip by era.
    #[display("era tag")]
    EraTag,
    /// A draft of a catalogue entry, at most once.
    #[display("catalogue entry")]
    CatalogueEntry,
    /// A conversation about the inspection log of a reel.
    #[display("dossier")]
    Dossier,
    /// A scan thumbnail of the bench portal.
    #[display("thumbnail")]
    Thumbnail,
    /// Creation of a job ticket in the bench portal.
    #[display("job ticket")]
    JobTicket,
    /// A chat with a visitor, in Spanish or English.
    #[display("visitor chat")]
    VisitorChat,
    /// A summary of guide notes, with batch priority.
    #[display("guide notes")]
    GuideNotes,
    /// A ticket scan at a gate, with urgent priority.
    #[display("gate scan")]
    GateScan,
    /// A seat hold, with urgent priority and at most once.
    #[display("seat hold")]
    SeatHold,
    /// A booking, at most once because it charges the visitor.
    #[display("booking")]
    Booking,
}

/// The destination of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A chat completion under a profile.
    Chat {
        /// The profile.
        profile: &'static str,
        /// The request class.
        class: &'static str,
    },
    /// A call of a plain service.
    Plain {
        /// The HTTP method.
        method: &'static str,
        /// The path, starting with the service's name.
        path: &'static str,
    },
}

/// The retry policy of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRetryPolicy {
    /// The call may run several times.
    Idempotent,
    /// The call runs once or not at all.
    AtMostOnce,
}

impl Kind {
    /// All kinds, in the order of the report.
    pub const ALL: [Self; 10] = [
        Self::EraTag,
        Self::CatalogueEntry,
        Self::Dossier,
        Self::Thumbnail,
        Self::JobTicket,
        Self::VisitorChat,
        Self::GuideNotes,
        Self::GateScan,
        Self::SeatHold,
        Self::Booking,
    ];

    /// Returns the relative frequency in the workload.
    #[must_use]
    pub fn weight(self) -> u32 {
        match self {
            Self::EraTag => 20,
            Self::Dossier => 4,
            Self::Thumbnail => 14,
            Self::VisitorChat => 12,
            Self::GateScan => 16,
            Self::SeatHold => 10,
            Self::CatalogueEntry | Self::JobTicket | Self::Booking => 8,
            Self::GuideNotes => 3,
        }
    }

    /// Returns the number of the caller's messages in a conversation.
    #[must_use]
    pub fn turns(self) -> usize {
        match self {
            Self::Dossier => 3,
            Self::VisitorChat => 2,
            _ => 1,
        }
    }

    /// Returns the customer who is billed for the item with this number.
    #[must_use]
    pub fn customer(self, item_number: u32) -> &'static str {
        match self {
            Self::Dossier if item_number.is_multiple_of(4) => "studio-baobab",
            Self::EraTag
            | Self::CatalogueEntry
            | Self::Dossier
            | Self::Thumbnail
            | Self::JobTicket => "kivuli-bench",
            Self::VisitorChat | Self::GuideNotes => "sal-visitors",
            Self::GateScan | Self::SeatHold | Self::Booking => "sal-gates",
        }
    }

    /// Returns the destination of the calls.
    #[must_use]
    pub fn route(self) -> Route {
        let chat = |profile, class| Route::Chat { profile, class };
        let plain = |method, path| Route::Plain { method, path };
        match self {
            Self::EraTag => chat("kivuli-era", "era"),
            Self::CatalogueEntry => chat("kivuli-catalogue", "catalogue"),
            Self::Dossier => chat("kivuli-dossier", "dossier"),
            Self::VisitorChat => chat("sal-visitor", "chat"),
            Self::GuideNotes => chat("sal-notes", "notes"),
            Self::Thumbnail => plain("GET", "bench/thumbnails"),
            Self::JobTicket => plain("POST", "bench/tickets"),
            Self::GateScan => plain("POST", "gate/scans"),
            Self::SeatHold => plain("POST", "gate/holds"),
            Self::Booking => plain("POST", "gate/bookings"),
        }
    }

    /// Returns the retry policy of the calls.
    #[must_use]
    pub fn retry_policy(self) -> CallRetryPolicy {
        match self {
            Self::CatalogueEntry | Self::SeatHold | Self::Booking => CallRetryPolicy::AtMostOnce,
            _ => CallRetryPolicy::Idempotent,
        }
    }

    /// Returns whether the response is streamed.
    #[must_use]
    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Dossier | Self::VisitorChat)
    }

    /// Returns the value of the priority header.
    #[must_use]
    pub fn priority(self) -> &'static str {
        match self {
            Self::GateScan | Self::SeatHold => "urgent",
            Self::GuideNotes => "batch",
            _ => "interactive",
        }
    }
}
