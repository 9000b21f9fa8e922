use {
    super::{decision_line::Decision, entry_state::EntryState},
    async_std::{
        net::{TcpListener, TcpStream},
        task,
    },
    std::sync::Arc,
};

/// Delay after a failed accept, such as for lack of file descriptors, in ms.
const RETRY_INTERVAL_MS: u64 = 20;

/// Accepts connections forever and serves each in a task of its own. `part` names the listener in the log.
pub async fn accept_all<F>(
    state: Arc<EntryState>,
    listener: TcpListener,
    part: &'static str,
    serve: fn(Arc<EntryState>, TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _from)) => {
                task::spawn(serve(Arc::clone(&state), stream));
            }
            Err(fault) => {
                let fault = fault.to_string();
                state.log(&Decision::Fault { part, fault });
                state.clock.sleep(RETRY_INTERVAL_MS).await;
            }
        }
    }
}
