use {bpaf::Bpaf, std::path::PathBuf, whinlatch_serving::mechanism::Mechanism};

/// The whinlatch daemon: accepts callers' requests and forwards them to targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Where settings and records come from.
    #[bpaf(external)]
    pub source: Source,
    /// Disable a mechanism of the decisions, to measure its effect; only with --platform
    #[bpaf(argument("MECHANISM"), many)]
    pub without: Vec<Mechanism>,
    /// Port of the metrics, instead of the first one of the instance's port range; only with --platform
    #[bpaf(argument("PORT"), optional)]
    pub metrics_port: Option<u16>,
    /// Check the settings and exit
    pub check: bool,
}

/// Where settings and records come from.
#[derive(Debug, Clone, Bpaf)]
pub enum Source {
    /// From a file, and from the platform service that it names.
    File {
        /// Settings in JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// From the platform on which the instance runs.
    /// Serve the routes that the platform's store publishes; the platform provides the settings file
    Platform,
}
