use {
    jsonc_parser::parse_to_serde_value,
    serde::Deserialize,
    std::{fs, io, path::PathBuf},
    thiserror::Error,
};

const TRUEQUE: &str = include_str!("../../mixes/trueque.jsonc");
const KALESA: &str = include_str!("../../mixes/kalesa.jsonc");

/// Why a file can't be used.
#[derive(Debug, Error)]
pub enum FileFault {
    /// It can't be read.
    #[error("{path} can't be read ({cause}): name `trueque`, `kalesa` or a file")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        cause: io::Error,
    },
    /// It isn't of the documented form.
    #[error("{path} is not valid ({detail}): see docs/BENCHMARKS.md for the format")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong.
        detail: String,
    },
}

/// A mix of requests, as a file states it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Name in reports.
    pub name: String,
    /// Time over which requests arrive, in s.
    pub duration_s: u64,
    /// What the deployment cares for.
    pub weights: Weights,
    /// Prompts of at least this many tokens count as long.
    pub long_prompt_tokens: u64,
    /// Providers and their shares.
    pub providers: Vec<Provider>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Kinds of requests.
    pub bands: Vec<Band>,
}

/// The two weights of the policy record.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the time to first token of the longest prompts, 0 to 1.
    pub long_first_token: f64,
    /// Weight of the slowdown of short requests, 0 to 1.
    pub short_slowdown: f64,
}

/// A provider. Targets are split among providers in the same shares.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Provider {
    /// Its name.
    pub name: String,
    /// Its share in thousandths.
    pub share_per_mille: u32,
}

/// A client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Its limit over the whole fleet, in requests a second; none if absent.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Its limit over the whole fleet, in prompt tokens a second; none if absent.
    #[serde(default)]
    pub tokens_per_s: Option<f64>,
}

/// A kind of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Band {
    /// Name in reports.
    pub name: String,
    /// Part of all requests.
    pub share: f64,
    /// Shortest and longest prompt; lengths between are log-uniform.
    pub prompt_tokens: [u64; 2],
    /// Shortest and longest answer; lengths between are uniform.
    pub answer_tokens: [u32; 2],
    /// Deadline of each request, in ms.
    pub deadline_ms: u64,
    /// Whether the slowdown of short requests is measured on it.
    #[serde(default)]
    pub short: bool,
    /// Prefixes that requests share; none if absent.
    #[serde(default)]
    pub prefix: Option<Prefix>,
    /// Bursts; arrivals are Poisson at one rate if absent.
    #[serde(default)]
    pub waves: Option<Waves>,
}

/// Prefixes that requests of a band share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// Part of the requests that begin with a shared prefix.
    pub reuse: f64,
    /// Number of different prefixes.
    pub groups: u64,
    /// Tokens of each prefix.
    pub tokens: u64,
}

/// Bursts of arrivals at a fixed pace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Waves {
    /// From the start of one to the start of the next, in s.
    pub every_s: u64,
    /// Length of one, in s.
    pub length_s: u64,
    /// Rate within one over the rate between two.
    pub factor: f64,
}

impl Mix {
    /// Reads a mix that is built in, or a file.
    ///
    /// # Errors
    /// [`FileFault`] if the file can't be read or isn't a mix.
    pub fn load(name: &str) -> Result<Self, FileFault> {
        match name {
            "trueque" => parse_jsonc(name, TRUEQUE),
            "kalesa" => parse_jsonc(name, KALESA),
            path => read_jsonc(path),
        }
    }

    /// The same mix with only its short bands.
    pub fn short_only(&self) -> Self {
        let mut mix = self.clone();
        mix.bands.retain(|band| band.short);
        mix
    }
}

impl Band {
    /// Length of the prompt at a quantile of the band.
    pub fn prompt_at(&self, quantile: f64) -> u64 {
        let [low, high] = self.prompt_tokens.map(|tokens| (tokens as f64).ln());
        (low + (high - low) * quantile).exp() as u64
    }
}

/// Reads a file in JSON with comments.
///
/// # Errors
/// [`FileFault`] if it can't be read or isn't of the expected form.
pub fn read_jsonc<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, FileFault> {
    let text = fs::read_to_string(PathBuf::from(path)).map_err(|cause| FileFault::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    parse_jsonc(path, &text)
}

fn parse_jsonc<T: serde::de::DeserializeOwned>(path: &str, text: &str) -> Result<T, FileFault> {
    let invalid = |detail: String| FileFault::Invalid {
        path: path.to_owned(),
        detail,
    };
    let value = parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| invalid(error.to_string()))?
        .ok_or_else(|| invalid("it is empty".to_owned()))?;
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}
