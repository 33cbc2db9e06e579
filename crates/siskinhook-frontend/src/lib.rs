//! The PostgreSQL server that callers connect to: sessions, settings and the filter chain.
