//! Small stand-ins for the platform, the database groups and the network, with faults.
