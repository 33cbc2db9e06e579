//! Links between nodes over TCP.

mod frame;
mod link;
mod links;
mod serve;

pub use link::FrameLink;
pub use links::{LinkOptions, TcpLinks};
pub use serve::{serve_link, serve_links};
