//! The operators' interface of a node and the commands of siskinctl.
