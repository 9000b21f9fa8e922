use {super::entry_state::EntryState, whinlatch_serving::fleet::JobId};

/// Marks a placed prompt as running. Dropping it records the prompt's end, also when the request is
/// cancelled; otherwise its engines would count as busy with it.
#[derive(Debug)]
pub struct JobGuard<'a> {
    state: &'a EntryState,
    job: JobId,
}

impl<'a> JobGuard<'a> {
    /// Creates the guard of a prompt that was admitted.
    pub fn new(state: &'a EntryState, job: JobId) -> Self {
        Self { state, job }
    }
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        self.state.serving().record_prompt_ended(self.job);
    }
}
