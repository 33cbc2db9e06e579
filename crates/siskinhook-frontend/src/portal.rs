//! Portals of the extended query flow: statements as parsed, and replies not read to the end.

use indexmap::IndexMap;
use pgwire::api::portal::{Format, Portal};
use siskinhook_types::{Protocol, Statement};
use smol_str::SmolStr;

use crate::Reply;

/// A prepared statement of a caller.
#[derive(Clone, Debug)]
pub struct Prepared {
    pub(crate) sql: SmolStr,
    pub(crate) types: Vec<u32>,
}

impl Prepared {
    /// Creates the statement to run a portal.
    pub(crate) fn bound(portal: &Portal<Self>) -> Statement {
        let prepared = &portal.statement.statement;
        Statement {
            protocol: Protocol::Extended,
            types: prepared.types.clone(),
            params: portal.parameters.clone(),
            formats: codes(&portal.parameter_format),
            results: codes(&portal.result_column_format),
            ..Statement::simple(prepared.sql.clone())
        }
    }

    /// Creates the statement to describe.
    pub(crate) fn unbound(&self) -> Statement {
        Statement {
            protocol: Protocol::Extended,
            types: self.types.clone(),
            ..Statement::simple(self.sql.clone())
        }
    }
}

fn codes(format: &Format) -> Vec<i16> {
    match format {
        Format::UnifiedText => Vec::new(),
        Format::UnifiedBinary => vec![1],
        Format::Individual(codes) => codes.clone(),
    }
}

/// Replies that were not read to the end, by portal, and the portal whose description is due.
pub(crate) struct OpenPortals<A> {
    replies: IndexMap<String, Reply<A>>,
    described: Option<String>,
}

impl<A> Default for OpenPortals<A> {
    fn default() -> Self {
        Self {
            replies: IndexMap::new(),
            described: None,
        }
    }
}

impl<A> OpenPortals<A> {
    /// Takes the reply of a portal that was suspended.
    pub(crate) fn take(&mut self, name: &str) -> Option<Reply<A>> {
        self.replies.swap_remove(name)
    }

    /// Keeps the reply of a portal that was suspended.
    pub(crate) fn suspend(&mut self, name: &str, reply: Reply<A>) {
        self.replies.insert(name.into(), reply);
    }

    /// Drops all replies.
    pub(crate) fn clear(&mut self) {
        self.replies.clear();
    }

    /// Notes that the description of a portal is due. Drivers send Describe and Execute
    /// together, and the answer to Execute starts with the columns; answering both from it
    /// saves a round trip to the target.
    pub(crate) fn describe_later(&mut self, name: &str) {
        self.described = Some(name.into());
    }

    /// Takes the portal whose description is due.
    pub(crate) fn take_described(&mut self) -> Option<String> {
        self.described.take()
    }
}
