//! Callers that send one request after the other over open connections, until the process is gone.

use {
    super::fixture::PATIENCE,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        thread,
    },
    whinlatch_platform_standins::{Caller, CallerRequest, TargetStandin, names::REQUEST_ID_HEADER},
};

/// Number of callers at once.
const CALLERS: usize = 6;

/// A request that ended without a complete answer, by its id.
pub struct CutRequest {
    pub id: String,
}

/// Returns the ids of those cut requests that were passed on to the target.
pub fn passed_on(target: &TargetStandin, cut: Vec<CutRequest>) -> Vec<String> {
    let arrivals = target.arrivals();
    let passed_on: HashSet<&str> = arrivals
        .iter()
        .filter_map(|request| request.header(REQUEST_ID_HEADER))
        .collect();
    cut.into_iter()
        .map(|cut| cut.id)
        .filter(|id| passed_on.contains(id.as_str()))
        .collect()
}

/// Has callers send requests until [`Load::stop`], and counts those that were served.
#[derive(Default)]
pub struct Load {
    is_over: AtomicBool,
    served: AtomicUsize,
}

impl Load {
    /// Ends the load once each caller has an answer or has lost its connection.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Waits until some requests were served.
    pub fn wait_until_served(&self, count: usize) {
        while self.served.load(Ordering::SeqCst) < count {
            thread::yield_now();
        }
    }

    /// Runs the callers, while `meanwhile` runs. Returns the requests that were cut.
    pub fn run(
        &self,
        address: SocketAddr,
        request: fn() -> CallerRequest,
        meanwhile: impl FnOnce(),
    ) -> Vec<CutRequest> {
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(|| self.call(address, request)))
                .collect();
            meanwhile();
            self.stop();
            callers
                .into_iter()
                .flat_map(|caller| caller.join().unwrap())
                .collect()
        })
    }

    fn call(&self, address: SocketAddr, request: fn() -> CallerRequest) -> Vec<CutRequest> {
        let mut cut = Vec::new();
        let mut kept: Option<Caller> = None;
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(mut caller) = kept
                .take()
                .or_else(|| Caller::try_connect(address, PATIENCE).ok())
            else {
                thread::yield_now();
                continue;
            };
            let request = request();
            let answer = caller.send(&request).ok().and_then(|()| caller.read());
            match answer {
                Some(answer) if answer.is_whole => {
                    self.served
                        .fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                    if answer.header("Connection").is_none() {
                        kept = Some(caller);
                    }
                }
                Some(_) | None => cut.push(CutRequest { id: request.id }),
            }
        }
        cut
    }
}
