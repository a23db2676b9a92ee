//! Chat completions.

mod answer;
mod chunk;
mod fault;
mod reader;
mod request;
mod stream;

pub use answer::{Answer, Usage};
pub use fault::Fault;
pub use reader::{Progress, Reader};
pub use request::Chat;
pub use stream::Stream;

pub(crate) use chunk::UnstreamedResponse;
pub(crate) use request::RequestBody;
