//! Ties a task to its owner.

use tokio::task::AbortHandle;

/// Aborts its task when it is dropped.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Aborts this task when dropped.
    pub fn new(task: AbortHandle) -> Self {
        AbortOnDrop(task)
    }

    /// Whether the task has ended by itself.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
