//! The path from an entry node to the owner of a server: a local call or a link to another node.

use siskinhook_types::{Failure, Link, Links, Part, Request, Targets};

use crate::OwnerLink;

/// An open path to an owner.
pub enum Path<T: Targets, L: Links> {
    /// The owner is this node.
    Local(OwnerLink<T>),
    /// The owner is another node.
    Remote(L::Link),
}

impl<T: Targets, L: Links> Path<T, L> {
    pub async fn start(&mut self, request: Request) -> Result<(), Failure> {
        match self {
            Self::Local(link) => link.start(request).await,
            Self::Remote(link) => link.start(request).await,
        }
    }

    pub async fn next(&mut self) -> Result<Part, Failure> {
        match self {
            Self::Local(link) => link.next().await,
            Self::Remote(link) => link.next().await,
        }
    }
}
