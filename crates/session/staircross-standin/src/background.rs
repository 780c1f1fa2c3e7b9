//! A thread that runs until its owner is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

/// A thread and the flag that ends it. Dropping this value sets the flag and waits for the thread.
pub struct Background {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    /// Starts a thread, which must end soon after the flag that it gets is set.
    pub fn spawn(run: impl FnOnce(&AtomicBool) + Send + 'static) -> Background {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        Background { stop, thread: Some(thread::spawn(move || run(&stopped))) }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _printed = thread.join();
        }
    }
}
