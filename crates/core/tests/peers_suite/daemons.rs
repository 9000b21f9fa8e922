//! Options, hellos and list entries of test daemons.

use {
    std::net::SocketAddr,
    whinlatch_core::CoreOptions,
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, PEER_PROTOCOL},
        platform::{ListedDaemon, ListedState},
    },
};

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(port).expect("a port")))
}

pub fn options(index: usize, run: usize, domains: usize) -> CoreOptions {
    CoreOptions {
        instance: format!("entry-{index:03}").as_str().into(),
        failure_domain: format!("domain-{}", index % domains).as_str().into(),
        incarnation: Incarnation((run * 1_000 + index + 1) as u128 * 0x9E37_79B9_7F4A_7C15_F39C),
        caller_address: address(10_000 + index),
        peer_address: address(20_000 + index),
        seed_peers: Vec::new(),
        seed: (run * 1_000 + index) as u64,
    }
}

pub fn hello(options: &CoreOptions) -> Hello {
    Hello {
        protocol: PEER_PROTOCOL,
        instance: options.instance.clone(),
        incarnation: options.incarnation,
        failure_domain: options.failure_domain.clone(),
        caller_address: options.caller_address,
        peer_address: options.peer_address,
        nonce: 0,
    }
}

pub fn listed(options: &CoreOptions, state: ListedState) -> ListedDaemon {
    ListedDaemon {
        instance: options.instance.clone(),
        failure_domain: options.failure_domain.clone(),
        caller_address: options.caller_address,
        peer_address: options.peer_address,
        state,
    }
}
