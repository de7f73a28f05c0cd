//! Callers of both deployments, and the measures of what they see.
