use {
    super::{Member, Roster},
    crate::names::FailureDomain,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv6Addr, SocketAddr},
    },
};

/// Compact form of a [`Roster`]: a quarter of the bytes, since rows have no field names and state their failure
/// domain once.
///
/// At a start of all instances each hub sends the state of each instance to all others, so that these bytes grow
/// with the square of the fleet and are most of what instances exchange.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRows(bool, Vec<(FailureDomain, Vec<Row>)>, Vec<Address>);

/// Run, addresses of callers and of peers, processor time in thousandths of a core, heartbeat interval in ms,
/// version, revision, readiness, leaving, time of the statement in ms, and whether it reads rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Row(
    u64,
    Address,
    Address,
    u32,
    u64,
    u64,
    u64,
    bool,
    bool,
    u64,
    bool,
);

/// An IP address, as the number of its IPv6 form, and a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Address(u128, u16);

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(v4) => v4.to_ipv6_mapped(),
            IpAddr::V6(v6) => v6,
        };
        Self(ip.to_bits(), address.port())
    }
}

impl From<Address> for SocketAddr {
    fn from(address: Address) -> Self {
        let Address(ip, port) = address;
        Self::new(Ipv6Addr::from_bits(ip).to_canonical(), port)
    }
}

impl From<&Member> for Row {
    fn from(member: &Member) -> Self {
        Self(
            member.run,
            member.caller_address.into(),
            member.peer_address.into(),
            member.cpu_millis,
            member.heartbeat_interval_ms,
            member.version,
            member.revision,
            member.ready,
            member.leaving,
            member.stated_at_ms,
            member.reads_rows,
        )
    }
}

impl Row {
    fn into_member(self, failure_domain: FailureDomain) -> Member {
        let Self(run, caller, peer, cpu_millis, interval_ms, ..) = self;
        let Self(.., version, revision, ready, leaving, stated_at_ms, reads_rows) = self;
        Member {
            run,
            failure_domain,
            caller_address: caller.into(),
            peer_address: peer.into(),
            cpu_millis,
            heartbeat_interval_ms: interval_ms,
            version,
            revision,
            ready,
            leaving,
            stated_at_ms,
            reads_rows,
        }
    }
}

impl From<&Roster> for RosterRows {
    fn from(roster: &Roster) -> Self {
        let mut by_domain: BTreeMap<&FailureDomain, Vec<Row>> = BTreeMap::new();
        for member in &roster.listed {
            let rows = by_domain.entry(&member.failure_domain).or_default();
            rows.push(member.into());
        }
        Self(
            roster.is_full,
            by_domain
                .into_iter()
                .map(|(domain, rows)| (domain.clone(), rows))
                .collect(),
            roster.gone.iter().copied().map(Address::from).collect(),
        )
    }
}

impl From<RosterRows> for Roster {
    fn from(rows: RosterRows) -> Self {
        let RosterRows(is_full, by_domain, gone) = rows;
        let listed = by_domain.into_iter().flat_map(|(domain, rows)| {
            rows.into_iter()
                .map(move |row| row.into_member(domain.clone()))
        });
        Self {
            is_full,
            listed: listed.collect(),
            gone: gone.into_iter().map(SocketAddr::from).collect(),
        }
    }
}
