//! The macro by which a program lists the events of its log.

/// Makes the enum of a program's events: each has a name, a number, a level and
/// a message.
#[macro_export]
macro_rules! events {
    ($about:literal; $($name:ident, $number:literal, $level:ident, $message:literal;)*) => {
        #[doc = $about]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $message] $name,)*
        }

        impl Event {
            /// Every event, in the order of the catalogue.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The number under which it is catalogued.
            #[must_use]
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// How loud it is.
            #[must_use]
            pub fn level(self) -> $crate::Level {
                match self {
                    $(Self::$name => $crate::Level::$level,)*
                }
            }

            /// What it says; the fields beside it say about what.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self {
                    $(Self::$name => $message,)*
                }
            }
        }
    };
}
