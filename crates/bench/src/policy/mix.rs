use {
    jsonc_parser::parse_to_serde_value,
    serde::Deserialize,
    std::{fs, io, path::PathBuf},
    thiserror::Error,
};

const TRUEQUE: &str = include_str!("../../mixes/trueque.jsonc");
const KALESA: &str = include_str!("../../mixes/kalesa.jsonc");

/// A mix or fault file that can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("cannot read {path}: {cause} (expected `trueque`, `kalesa` or a file)")]
    Unreadable {
        /// Path as given on the command line.
        path: String,
        /// The I/O error.
        cause: io::Error,
    },
    /// The file doesn't have the documented format.
    #[error("{path} is invalid: {detail} (see docs/BENCHMARKS.md for the format)")]
    Invalid {
        /// Path as given on the command line, or name of a built-in mix.
        path: String,
        /// The parser's message.
        detail: String,
    },
}

/// A mix of requests, read from a file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name in reports.
    pub name: String,
    /// Time over which requests arrive, in s.
    pub duration_s: u64,
    /// Goals of the deployment.
    pub weights: Weights,
    /// Length from which a prompt counts as long, in tokens.
    pub long_prompt_tokens: u64,
    /// Providers among which the targets are split.
    pub providers: Vec<Provider>,
    /// Client accounts that send the requests.
    pub accounts: Vec<Account>,
    /// Kinds of requests with their lengths and rates.
    pub bands: Vec<Band>,
}

/// Weights of the policy record.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the time to first token of the longest prompts, 0 to 1.
    pub long_first_token: f64,
    /// Weight of the slowdown of short requests, 0 to 1.
    pub short_slowdown: f64,
}

/// A provider of targets. It gets the same share of the targets as of the requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Provider {
    /// Name in records.
    pub name: String,
    /// Share of the requests, in thousandths.
    pub share_per_mille: u32,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name in records.
    pub name: String,
    /// Fraction of the requests that it sends.
    pub share: f64,
    /// Fleet-wide limit, in requests per second; unlimited if absent.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Fleet-wide limit, in prompt tokens per second; unlimited if absent.
    #[serde(default)]
    pub tokens_per_s: Option<f64>,
}

/// A band: requests of similar length and urgency.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Band {
    /// Name in reports.
    pub name: String,
    /// Fraction of all requests.
    pub share: f64,
    /// Minimum and maximum length of prompts, distributed log-uniformly.
    pub prompt_tokens: [u64; 2],
    /// Minimum and maximum length of answers, distributed uniformly.
    pub answer_tokens: [u32; 2],
    /// Time from arrival to deadline, in ms.
    pub deadline_ms: u64,
    /// Whether it counts in the slowdown of short requests.
    #[serde(default)]
    pub short: bool,
    /// Prefixes that its requests share; none if absent.
    #[serde(default)]
    pub prefix: Option<Prefix>,
    /// Bursts of arrivals; if absent, arrivals are Poisson at a constant rate.
    #[serde(default)]
    pub waves: Option<Waves>,
}

/// Prefixes that requests of a band share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// Fraction of the requests that begin with a shared prefix.
    pub reuse: f64,
    /// Number of different prefixes.
    pub groups: u64,
    /// Length of each prefix, in tokens.
    pub tokens: u64,
}

/// Periodic bursts of arrivals.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Waves {
    /// Time between the starts of two bursts, in s.
    pub every_s: u64,
    /// Length of a burst, in s.
    pub length_s: u64,
    /// Rate during a burst divided by the rate outside bursts.
    pub factor: f64,
}

impl Mix {
    /// Loads the built-in mix of this name, or the file at this path.
    ///
    /// # Errors
    /// [`FileError`] if the file can't be read or isn't a valid mix.
    pub fn load(name: &str) -> Result<Self, FileError> {
        match name {
            "trueque" => parse_jsonc(name, TRUEQUE),
            "kalesa" => parse_jsonc(name, KALESA),
            path => read_jsonc(path),
        }
    }

    /// Returns the mix with only its short bands.
    pub fn short_only(&self) -> Self {
        let mut mix = self.clone();
        mix.bands.retain(|band| band.short);
        mix
    }
}

impl Band {
    /// Returns the prompt length at a quantile of the band's distribution.
    pub fn prompt_at(&self, quantile: f64) -> u64 {
        let [low, high] = self.prompt_tokens.map(|tokens| (tokens as f64).ln());
        (low + (high - low) * quantile).exp() as u64
    }
}

/// Reads a JSON file with comments.
///
/// # Errors
/// [`FileError`] if the file can't be read or doesn't deserialize to `T`.
pub fn read_jsonc<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, FileError> {
    let text = fs::read_to_string(PathBuf::from(path)).map_err(|cause| FileError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    parse_jsonc(path, &text)
}

fn parse_jsonc<T: serde::de::DeserializeOwned>(path: &str, text: &str) -> Result<T, FileError> {
    let invalid = |detail: String| FileError::Invalid {
        path: path.to_owned(),
        detail,
    };
    let value = parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| invalid(error.to_string()))?
        .ok_or_else(|| invalid("the file is empty".to_owned()))?;
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}
