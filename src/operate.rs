//! The operator's verbs.
