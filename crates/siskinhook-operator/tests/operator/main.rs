//! Tests of the operator interface and of siskinctl over loopback.

mod access;
mod common;
mod session;
