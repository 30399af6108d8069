//! What the kernel says of a running process.

use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// How often descriptors are counted and processor time is read while the sidecar runs.
const EACH: Duration = Duration::from_millis(100);

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampled {
    /// Time of all its threads on a processor.
    pub processor: Duration,
    /// The most memory that was resident, in bytes, as the kernel keeps it.
    pub peak_memory: u64,
    /// The most descriptors at any look.
    pub descriptors: u64,
}

impl Sampled {
    /// Looks again and again, for ever.
    pub async fn follow(&mut self, process: u32) {
        loop {
            // What is missing at one look is there at the next, or is told as missing at the end.
            let _ = self.take(process);
            sleep(EACH).await;
        }
    }

    /// Looks once; none where the kernel does not say.
    pub fn take(&mut self, process: u32) -> Option<()> {
        let folder = format!("/proc/{process}");
        let folder = Path::new(&folder);
        self.processor = self.processor.max(processor_time(folder)?);
        self.peak_memory = peak_memory(folder)?;
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        self.descriptors = self.descriptors.max(descriptors);
        Some(())
    }
}

/// Of all threads that there are, in the scheduler's nanoseconds.
fn processor_time(folder: &Path) -> Option<Duration> {
    let mut sum = Duration::ZERO;
    for thread in std::fs::read_dir(folder.join("task")).ok()? {
        let text = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        sum += Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?);
    }
    Some(sum)
}

fn peak_memory(folder: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}

/// The machine's mean of runnable tasks over the last minute; none where the kernel does not say.
pub fn load_average() -> Option<f64> {
    std::fs::read_to_string("/proc/loadavg").ok()?.split_whitespace().next()?.parse().ok()
}
