//! Entries to send requests to: looked up at an entry, cached for the lifetime of the list, and looked up
//! again after one of them fails.

use {
    crate::http::get,
    async_std::sync::Mutex,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinlatch_wire::caller::{ENTRIES_PATH, Entries},
};

/// Entries that the user named, and the list of entries that one of them returned.
#[derive(Debug)]
pub(crate) struct EntryList {
    configured: Vec<SocketAddr>,
    /// Last lookup. Locked during a lookup, so that concurrent requests make only one.
    cached: Mutex<Option<CachedLookup>>,
}

#[derive(Debug)]
struct CachedLookup {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl EntryList {
    pub fn new(configured: Vec<SocketAddr>) -> Self {
        Self {
            configured,
            cached: Mutex::new(None),
        }
    }

    /// Returns the entries that the user named.
    pub fn configured(&self) -> &[SocketAddr] {
        &self.configured
    }

    /// Returns the entries to use, best first: those of the cached lookup until it expires, then those of a
    /// new one. If no entry answers the lookup, returns the configured entries followed by those of the
    /// last lookup.
    pub async fn candidates(&self) -> Vec<SocketAddr> {
        let mut cached = self.cached.lock().await;
        if let Some(CachedLookup {
            addresses,
            expires_at,
        }) = &*cached
            && *expires_at > Instant::now()
        {
            return addresses.clone();
        }
        let mut to_query = self.configured.clone();
        let previous = cached.iter().flat_map(|cached| &cached.addresses);
        to_query.extend(previous.filter(|address| !self.configured.contains(address)));
        for entry in &to_query {
            if let Some(lookup) = look_up(*entry).await {
                let addresses = lookup.addresses.clone();
                *cached = Some(lookup);
                return addresses;
            }
        }
        to_query
    }

    /// Expires the cached lookup, after one of its entries refused a request or didn't answer.
    pub async fn expire(&self) {
        if let Some(cached) = &mut *self.cached.lock().await {
            cached.expires_at = Instant::now();
        }
    }
}

async fn look_up(entry: SocketAddr) -> Option<CachedLookup> {
    let (status, text) = get(entry, ENTRIES_PATH).await.ok()?;
    let entries: Entries = (status == 200).then(|| serde_json::from_str(&text).ok())??;
    let addresses: Vec<_> = entries.entries.iter().map(|entry| entry.address).collect();
    let expires_at = Instant::now() + Duration::from_millis(entries.ttl_ms);
    (!addresses.is_empty()).then_some(CachedLookup {
        addresses,
        expires_at,
    })
}
