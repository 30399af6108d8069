//! The division of the configured memory: no part exceeds the whole, whatever is configured.

use curlewhub_runtime::memory_division::{Division, KIB_PER_CONNECTION, SUCCESSOR_KIB, SidecarMemory};

const MEMORY_MB: [usize; 8] = [8, 16, 32, 56, 64, 192, 2048, usize::MAX];

#[test]
fn parts_never_exceed_the_whole() {
    for memory_mb in MEMORY_MB {
        let memory = SidecarMemory::new(memory_mb);
        for descriptors in [16, 208, 592, 976, 4048, 100_000] {
            for part_kib in [memory.alone_kib(), memory.successor_kib(descriptors, 2 * descriptors)] {
                let division = Division::new(part_kib, descriptors);
                let taken = division.connections * KIB_PER_CONNECTION + division.message_kib;
                assert!(taken <= part_kib, "{memory_mb} MB, {descriptors}: {division:?}");
            }
        }
    }
}

#[test]
fn predecessor_and_successor_together_stay_within_the_sidecars_memory() {
    for memory_mb in MEMORY_MB {
        let memory = SidecarMemory::new(memory_mb);
        for descriptors in [64, 256, 1024] {
            // At its start a successor is left a quarter of the descriptors, whatever its predecessor uses.
            let start = memory.successor_kib(descriptors / 4, descriptors);
            assert!(memory.alone_kib() + SUCCESSOR_KIB + start <= memory.total_kib(), "{memory_mb} MB");
            for predecessor_kib in (0..=memory.alone_kib()).step_by(64) {
                let left = memory.successor_descriptors(predecessor_kib, descriptors);
                assert!(left >= descriptors / 4, "{memory_mb} MB, {predecessor_kib} KiB in use");
                let successor_kib = memory.successor_kib(left, descriptors);
                assert!(predecessor_kib + SUCCESSOR_KIB + successor_kib <= memory.total_kib());
            }
        }
    }
}
