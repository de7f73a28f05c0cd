//! Small stand-ins for the platform and the upstreams, with faults that can be switched.
