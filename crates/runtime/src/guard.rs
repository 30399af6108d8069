//! A task that is someone's own.

use tokio::task::AbortHandle;

/// A task that ends with its holder.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Ends this task when dropped.
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
