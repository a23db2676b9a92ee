//! The kinds of work.

use derive_more::Display;

/// One kind of work of the two organisations.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The era of a clip, the smallest of Kivuli's requests.
    #[display("era tag")]
    EraTag,
    /// A draft for the catalogue, which may be written once.
    #[display("catalogue entry")]
    CatalogueEntry,
    /// A conversation over a reel's inspection log.
    #[display("dossier")]
    Dossier,
    /// A scan thumbnail of the bench portal.
    #[display("thumbnail")]
    Thumbnail,
    /// A job ticket of the bench portal.
    #[display("job ticket")]
    JobTicket,
    /// A visitor's chat, in Spanish or English.
    #[display("visitor chat")]
    VisitorChat,
    /// Guide notes, summarised overnight.
    #[display("guide notes")]
    GuideNotes,
    /// A scan at a gate, with a visitor before it.
    #[display("gate scan")]
    GateScan,
    /// A seat hold, which can't wait and may be made once.
    #[display("seat hold")]
    SeatHold,
    /// A booking, which charges a family and may be made once.
    #[display("booking")]
    Booking,
}

/// What a kind of work calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A chat under a profile.
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
        /// The path, from the service's name on.
        path: &'static str,
    },
}

/// Whether a call may run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Idempotent,
    /// It runs once or not at all.
    AtMostOnce,
}

impl Kind {
    /// Every kind, in the order of the report.
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

    /// How often it comes, against the others.
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

    /// How many messages its conversation has.
    #[must_use]
    pub fn turns(self) -> usize {
        match self {
            Self::Dossier => 3,
            Self::VisitorChat => 2,
            _ => 1,
        }
    }

    /// The customer on whose account it runs, by the draw for this item.
    #[must_use]
    pub fn customer(self, draw: u32) -> &'static str {
        match self {
            Self::Dossier if draw.is_multiple_of(4) => "studio-baobab",
            Self::EraTag
            | Self::CatalogueEntry
            | Self::Dossier
            | Self::Thumbnail
            | Self::JobTicket => "kivuli-bench",
            Self::VisitorChat | Self::GuideNotes => "sal-visitors",
            Self::GateScan | Self::SeatHold | Self::Booking => "sal-gates",
        }
    }

    /// What it calls.
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

    /// Whether it may run a second time.
    #[must_use]
    pub fn repeat(self) -> Repeat {
        match self {
            Self::CatalogueEntry | Self::SeatHold | Self::Booking => Repeat::AtMostOnce,
            _ => Repeat::Idempotent,
        }
    }

    /// Whether its answer is streamed.
    #[must_use]
    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Dossier | Self::VisitorChat)
    }

    /// The value of the priority header.
    #[must_use]
    pub fn priority(self) -> &'static str {
        match self {
            Self::GateScan | Self::SeatHold => "urgent",
            Self::GuideNotes => "batch",
            _ => "interactive",
        }
    }
}
