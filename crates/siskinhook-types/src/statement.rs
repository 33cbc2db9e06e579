//! Statements and the parts of their answers.

use bytes::Bytes;
use smol_str::SmolStr;

use crate::{LogPoint, value_type};

value_type! {
    /// PostgreSQL query protocol with which a statement is sent.
    #[derive(Copy)]
    pub enum Protocol {
        /// Simple query: no parameters, results in text format.
        Simple,
        /// Extended query: parse, bind and execute.
        Extended,
    }

    /// A statement and its parameters in the caller's encoding.
    pub struct Statement {
        /// Statement text.
        pub sql: SmolStr,
        /// Query protocol.
        pub protocol: Protocol,
        /// Type OIDs of the parameters; 0 for an unspecified type.
        pub types: Vec<u32>,
        /// Encoded parameter values; `None` is NULL.
        pub params: Vec<Option<Bytes>>,
        /// Format codes of the parameters: none, one for all, or one each.
        pub formats: Vec<i16>,
        /// Format codes of the result columns: none, one for all, or one each.
        pub results: Vec<i16>,
    }

    /// A column of a result.
    pub struct Column {
        /// Column name.
        pub name: SmolStr,
        /// Type OID.
        pub oid: u32,
        /// Format code: 0 text, 1 binary.
        pub format: i16,
    }

    /// A part of the answer to a statement, in the order sent by the target.
    pub enum Part {
        /// Type OIDs of the parameters, in answer to a describe request.
        Parameters(Vec<u32>),
        /// Columns of the rows that follow; empty when the statement returns no rows.
        Columns(Vec<Column>),
        /// One row: the number of fields and the field data of a `DataRow` message.
        Row {
            /// Number of fields.
            fields: u16,
            /// Each field as a 32-bit length (-1 for NULL) and its bytes.
            data: Bytes,
        },
        /// The statement is complete; no further parts follow.
        Done {
            /// Command tag, for example `INSERT 0 1`.
            tag: SmolStr,
            /// Log point of the commit, after a committed write.
            point: Option<LogPoint>,
        },
    }
}

impl Statement {
    /// Creates a simple-protocol statement without parameters.
    pub fn simple(sql: impl Into<SmolStr>) -> Self {
        Self {
            sql: sql.into(),
            protocol: Protocol::Simple,
            types: Vec::new(),
            params: Vec::new(),
            formats: Vec::new(),
            results: Vec::new(),
        }
    }

    /// Creates an extended-protocol statement with text parameters and text results.
    pub fn with_text_params(
        sql: impl Into<SmolStr>,
        params: impl IntoIterator<Item = String>,
    ) -> Self {
        Self {
            protocol: Protocol::Extended,
            params: params.into_iter().map(|p| Some(Bytes::from(p))).collect(),
            ..Self::simple(sql)
        }
    }
}
