use {bpaf::Bpaf, std::path::PathBuf};

/// The whinlatch daemon: takes callers' requests and passes them on to targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Settings in JSON with comments
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and end
    pub check: bool,
}
