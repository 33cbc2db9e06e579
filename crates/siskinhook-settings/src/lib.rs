//! Node settings in JSON with comments, checked with line and column.
