//! Orders to targets: models, adapters and versions to load, and what to work on.
