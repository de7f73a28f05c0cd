//! Leases, and the orders given under them.
