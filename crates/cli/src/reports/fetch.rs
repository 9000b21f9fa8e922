use {
    crate::{entries::EntryList, errors::CliError, http::get},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

/// Reads a report from the first given entry that answers.
pub(super) async fn fetch<T: DeserializeOwned>(
    entries: &EntryList,
    path: &str,
) -> Result<(T, serde_json::Value), CliError> {
    for entry in entries.given() {
        if let Ok((status, text)) = get(*entry, path).await {
            return understand(*entry, status, &text);
        }
    }
    Err(CliError::NoEntry {
        tried: entries.given().to_vec(),
    })
}

/// The report as typed and as the daemon wrote it, with fields that this build doesn't know.
pub(super) fn understand<T: DeserializeOwned>(
    entry: SocketAddr,
    status: u16,
    text: &str,
) -> Result<(T, serde_json::Value), CliError> {
    let bad = |detail: String| CliError::BadAnswer {
        entry,
        status,
        detail,
    };
    if status != 200 {
        return Err(bad(text.chars().take(SHOWN_CHARS).collect()));
    }
    let typed = serde_json::from_str(text).map_err(|error| bad(error.to_string()))?;
    let written = serde_json::from_str(text).map_err(|error| bad(error.to_string()))?;
    Ok((typed, written))
}

/// Longest part of an unexpected answer that is shown.
const SHOWN_CHARS: usize = 200;
