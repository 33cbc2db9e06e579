//! Prepared statements and portals of the extended query protocol.

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
    /// Creates the statement that runs a portal, with its bound parameters.
    pub(crate) fn bound_statement(portal: &Portal<Self>) -> Statement {
        let prepared = &portal.statement.statement;
        Statement {
            protocol: Protocol::Extended,
            types: prepared.types.clone(),
            params: portal.parameters.clone(),
            formats: format_codes(&portal.parameter_format),
            results: format_codes(&portal.result_column_format),
            ..Statement::simple(prepared.sql.clone())
        }
    }

    /// Creates the statement without parameters, to describe it.
    pub(crate) fn unbound_statement(&self) -> Statement {
        Statement {
            protocol: Protocol::Extended,
            types: self.types.clone(),
            ..Statement::simple(self.sql.clone())
        }
    }
}

fn format_codes(format: &Format) -> Vec<i16> {
    match format {
        Format::UnifiedText => Vec::new(),
        Format::UnifiedBinary => vec![1],
        Format::Individual(codes) => codes.clone(),
    }
}

/// Replies of suspended portals, and the portal whose description was deferred.
pub(crate) struct OpenPortals<A> {
    replies: IndexMap<String, Reply<A>>,
    deferred_description: Option<String>,
}

impl<A> Default for OpenPortals<A> {
    fn default() -> Self {
        Self {
            replies: IndexMap::new(),
            deferred_description: None,
        }
    }
}

impl<A> OpenPortals<A> {
    /// Removes and returns the reply of a suspended portal.
    pub(crate) fn take_reply(&mut self, name: &str) -> Option<Reply<A>> {
        self.replies.swap_remove(name)
    }

    /// Stores the reply of a portal that is suspended.
    pub(crate) fn suspend(&mut self, name: &str, reply: Reply<A>) {
        self.replies.insert(name.into(), reply);
    }

    /// Drops the replies of all suspended portals.
    pub(crate) fn clear(&mut self) {
        self.replies.clear();
    }

    /// Defers the description of a portal until its Execute message.
    ///
    /// Drivers send Describe and Execute together, and the answer to Execute starts with the
    /// columns. Answering both messages from it saves a round trip to the target.
    pub(crate) fn defer_description(&mut self, name: &str) {
        self.deferred_description = Some(name.into());
    }

    /// Removes and returns the name of the portal whose description was deferred.
    pub(crate) fn take_deferred_description(&mut self) -> Option<String> {
        self.deferred_description.take()
    }
}
