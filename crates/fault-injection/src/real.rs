//! The functions of the C library that stand behind ours.

use std::ffi::{CStr, c_void};
use std::marker::PhantomData;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, of the type `F`, looked up at its first use.
pub struct Real<F> {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
    function: PhantomData<fn() -> F>,
}

impl<F: Copy> Real<F> {
    /// The function of this name.
    ///
    /// # Safety
    /// `F` is the type of a pointer to a function, and the one of this name is of that type.
    pub const unsafe fn new(name: &'static CStr) -> Real<F> {
        assert!(size_of::<F>() == size_of::<*mut c_void>());
        Real { name, address: AtomicPtr::new(std::ptr::null_mut()), function: PhantomData }
    }

    /// The function itself.
    pub fn get(&self) -> F {
        let mut address = self.address.load(Ordering::Acquire);
        if address.is_null() {
            // SAFETY: the name is a C string, and RTLD_NEXT asks for the next definition after this library's.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            if address.is_null() {
                std::process::abort();
            }
            self.address.store(address, Ordering::Release);
        }
        // SAFETY: `new` demands that this address is one of a function of the type F, which has its size.
        unsafe { std::mem::transmute_copy(&address) }
    }
}

/// Sets `errno`, and is what a call that has failed returns.
pub fn fail(errno: libc::c_int) -> libc::c_int {
    // SAFETY: the C library gives each thread a place of its own for `errno`, valid for as long as it runs.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// `errno` as it stands.
pub fn errno() -> libc::c_int {
    // SAFETY: as in `fail`.
    unsafe { *libc::__errno_location() }
}
