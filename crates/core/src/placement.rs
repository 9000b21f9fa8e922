//! Placement of prompts beyond one engine's memory on groups of engines, all or none.
