use {
    crate::{entries::EntryList, errors::CliError, http::get},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

/// Fetches a report from the first of the configured entries that answers.
pub(super) async fn fetch<T: DeserializeOwned>(
    entries: &EntryList,
    path: &str,
) -> Result<(T, serde_json::Value), CliError> {
    for entry in entries.configured() {
        if let Ok((status, text)) = get(*entry, path).await {
            return parse_report(*entry, status, &text);
        }
    }
    Err(CliError::NoEntry {
        tried: entries.configured().to_vec(),
    })
}

/// Parses a report into its type and into raw JSON, which keeps fields that this build doesn't know.
pub(super) fn parse_report<T: DeserializeOwned>(
    entry: SocketAddr,
    status: u16,
    text: &str,
) -> Result<(T, serde_json::Value), CliError> {
    let bad_answer = |detail: String| CliError::BadAnswer {
        entry,
        status,
        detail,
    };
    if status != 200 {
        return Err(bad_answer(text.chars().take(MAX_SHOWN_CHARS).collect()));
    }
    let typed = serde_json::from_str(text).map_err(|error| bad_answer(error.to_string()))?;
    let raw = serde_json::from_str(text).map_err(|error| bad_answer(error.to_string()))?;
    Ok((typed, raw))
}

/// Maximum number of characters of an unexpected answer that an error message shows.
const MAX_SHOWN_CHARS: usize = 200;
