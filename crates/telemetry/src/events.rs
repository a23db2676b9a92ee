//! The macro that defines the log events of a program.

/// Defines the enum of a program's log events: each has a name, a number, a level and
/// a message.
#[macro_export]
macro_rules! events {
    ($doc_text:literal; $($name:ident, $number:literal, $level:ident, $message:literal;)*) => {
        #[doc = $doc_text]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $message] $name,)*
        }

        impl Event {
            /// Every event, in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the event's number in the catalogue.
            #[must_use]
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the event's log level.
            #[must_use]
            pub fn level(self) -> $crate::Level {
                match self {
                    $(Self::$name => $crate::Level::$level,)*
                }
            }

            /// Returns the event's message; the details are in its fields.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self {
                    $(Self::$name => $message,)*
                }
            }
        }
    };
}
