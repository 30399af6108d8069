//! The kernel's report on the memory of a process.

use curlewhub_runtime::process_memory::ProcessMemory;

#[test]
fn resident_pages_are_read_from_the_kernels_report() {
    let status = "VmRSS:\t    9000 kB\nRssAnon:\t     836 kB\nRssFile:\t    7520 kB\nRssShmem:\t 0 kB\n";
    assert_eq!(ProcessMemory::parse(status), Some(ProcessMemory { own_kib: 836, file_kib: 7520 }));
    assert_eq!(ProcessMemory::parse("VmRSS:\t9000 kB\n"), None);
    assert!(ProcessMemory::read().is_some_and(|memory| memory.own_kib > 0));
}
