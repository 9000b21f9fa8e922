use {
    super::outgoing::{LinkReceiver, LinkSender, receive_frame, send_frame},
    crate::{entropy::random_u128, shared::Shared},
    thiserror::Error,
    whinlatch_wire::peer::{Hello, PEER_PROTOCOL, PeerFrame, prove, verify},
};

/// Reason why a link couldn't be opened.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke, or the peer sent something other than a frame.
    #[error("the link broke before the handshake was complete: see the peer's log")]
    Broken,
    /// The peer's first frame isn't a hello.
    #[error("the peer's first frame isn't a hello: run compatible versions")]
    NoHello,
    /// The link leads back to this daemon.
    #[error("the peer is this daemon itself: remove its own address from `seed_peers`")]
    Itself,
    /// The peer's proof isn't valid for this daemon's key.
    #[error("the peer doesn't hold the key: set the same `peer_key` in all settings")]
    Unproved,
}

/// Performs the handshake as the side that opened the link, which sends its proof first.
pub async fn initiate(
    shared: &Shared,
    sender: &mut LinkSender,
    receiver: &mut LinkReceiver,
) -> Result<Hello, HandshakeError> {
    let own = own_hello(shared);
    let theirs = exchange_hellos(&own, sender, receiver).await?;
    send_proof(shared, &theirs, sender).await?;
    check_proof(shared, &own, &theirs, receiver).await?;
    Ok(theirs)
}

/// Performs the handshake as the side that accepted the link. It sends its proof only after the
/// peer's has been verified: otherwise anyone could have it sign another daemon's nonce and
/// impersonate it there.
pub async fn respond(
    shared: &Shared,
    sender: &mut LinkSender,
    receiver: &mut LinkReceiver,
) -> Result<Hello, HandshakeError> {
    let own = own_hello(shared);
    let theirs = exchange_hellos(&own, sender, receiver).await?;
    check_proof(shared, &own, &theirs, receiver).await?;
    send_proof(shared, &theirs, sender).await?;
    Ok(theirs)
}

fn own_hello(shared: &Shared) -> Hello {
    let settings = &shared.settings;
    Hello {
        protocol: PEER_PROTOCOL,
        instance: settings.instance.clone(),
        incarnation: shared.incarnation,
        failure_domain: settings.failure_domain.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        nonce: random_u128(),
    }
}

async fn exchange_hellos(
    own: &Hello,
    sender: &mut LinkSender,
    receiver: &mut LinkReceiver,
) -> Result<Hello, HandshakeError> {
    let frame = PeerFrame {
        hello: Some(own.clone()),
        ..PeerFrame::default()
    };
    send_frame(sender, frame)
        .await
        .map_err(|_broken| HandshakeError::Broken)?;
    let frame = receive_frame(receiver)
        .await
        .map_err(|_broken| HandshakeError::Broken)?;
    let theirs = frame.hello.ok_or(HandshakeError::NoHello)?;
    if theirs.incarnation == own.incarnation {
        return Err(HandshakeError::Itself);
    }
    Ok(theirs)
}

async fn send_proof(
    shared: &Shared,
    theirs: &Hello,
    sender: &mut LinkSender,
) -> Result<(), HandshakeError> {
    let key = shared.settings.peer_key.as_bytes();
    let frame = PeerFrame {
        proof: Some(prove(key, theirs.nonce, shared.incarnation)),
        ..PeerFrame::default()
    };
    send_frame(sender, frame)
        .await
        .map_err(|_broken| HandshakeError::Broken)
}

async fn check_proof(
    shared: &Shared,
    own: &Hello,
    theirs: &Hello,
    receiver: &mut LinkReceiver,
) -> Result<(), HandshakeError> {
    let frame = receive_frame(receiver)
        .await
        .map_err(|_broken| HandshakeError::Broken)?;
    let key = shared.settings.peer_key.as_bytes();
    let is_valid = frame
        .proof
        .is_some_and(|proof| verify(key, own.nonce, theirs.incarnation, &proof));
    if is_valid {
        Ok(())
    } else {
        Err(HandshakeError::Unproved)
    }
}
