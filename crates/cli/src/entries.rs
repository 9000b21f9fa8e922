//! The entries that may be used: looked up, kept for their lifetime, and avoided while they fail.

use {
    crate::http::get,
    async_std::sync::Mutex,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    whinlatch_wire::caller::{ENTRIES_PATH, Entries},
};

/// Entries to choose from.
#[derive(Debug)]
pub(crate) struct EntryList {
    given: Vec<SocketAddr>,
    /// Locked during a lookup, so that many requests at once make one lookup.
    known: Mutex<Option<Known>>,
}

#[derive(Debug)]
struct Known {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl EntryList {
    pub fn new(given: Vec<SocketAddr>) -> Self {
        Self {
            given,
            known: Mutex::new(None),
        }
    }

    /// The entries named by the user.
    pub fn given(&self) -> &[SocketAddr] {
        &self.given
    }

    /// Entries to use, best first: those of the last lookup while it lives, else those of a new
    /// one. Where no lookup is answered, those of the last one and those given.
    pub async fn usable(&self) -> Vec<SocketAddr> {
        let mut known = self.known.lock().await;
        if let Some(Known { addresses, until }) = &*known
            && *until > Instant::now()
        {
            return addresses.clone();
        }
        let mut to_ask = self.given.clone();
        let last = known.iter().flat_map(|known| &known.addresses);
        to_ask.extend(last.filter(|address| !self.given.contains(address)));
        for entry in &to_ask {
            if let Some(found) = look_up(*entry).await {
                let addresses = found.addresses.clone();
                *known = Some(found);
                return addresses;
            }
        }
        to_ask
    }

    /// Ends the lifetime of the last lookup, after one of its entries refused or didn't answer.
    pub async fn expire(&self) {
        if let Some(known) = &mut *self.known.lock().await {
            known.until = Instant::now();
        }
    }
}

async fn look_up(entry: SocketAddr) -> Option<Known> {
    let (status, text) = get(entry, ENTRIES_PATH).await.ok()?;
    let entries: Entries = (status == 200).then(|| serde_json::from_str(&text).ok())??;
    let addresses: Vec<_> = entries.entries.iter().map(|entry| entry.address).collect();
    let until = Instant::now() + Duration::from_millis(entries.ttl_ms);
    (!addresses.is_empty()).then_some(Known { addresses, until })
}
