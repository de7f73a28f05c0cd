//! Limits over all daemons: concurrency, token budgets, priorities, bounded queues.
