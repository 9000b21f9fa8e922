use {super::entry_state::EntryState, whinlatch_serving::fleet::JobId};

/// A prompt at work. Dropped, however that comes about, it is told to be over: else the engines
/// would be taken to be busy with it.
#[derive(Debug)]
pub struct JobGuard<'a> {
    state: &'a EntryState,
    job: JobId,
}

impl<'a> JobGuard<'a> {
    /// Guards a prompt that was placed.
    pub fn new(state: &'a EntryState, job: JobId) -> Self {
        Self { state, job }
    }
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        self.state.serving().record_prompt_ended(self.job);
    }
}
