//! The logger, and the thread that writes its lines.

use std::{
    io::Write,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use log::LevelFilter;

use crate::{
    Class,
    Origin,
    Queue,
    line, //
};

/// Capacity of the channel of batches to the writer thread. While the thread is blocked in a write,
/// lines wait in the bounded queue.
const BATCH_CAPACITY: usize = 1;

/// Hands lines to the writer thread.
#[derive(Clone)]
pub struct Writer {
    queue: Arc<Mutex<Queue>>,
    batches: SyncSender<Vec<u8>>,
    written_bytes: Arc<Mutex<u64>>,
    sent_bytes: Arc<Mutex<u64>>,
}

/// Installs the process's logger, whose lines [`Writer::flush`] writes to `out`. `clock` is the
/// host's monotonic clock.
///
/// # Errors
///
/// When a logger is installed already.
pub fn start(
    process: String,
    clock: fn() -> Duration,
    level: LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<Writer, log::SetLoggerError> {
    let (batches, received) = sync_channel(BATCH_CAPACITY);
    let writer = Writer {
        queue: Arc::default(),
        batches,
        written_bytes: Arc::default(),
        sent_bytes: Arc::default(),
    };
    let written_bytes = writer.written_bytes.clone();
    thread::spawn(move || write(&received, out, &written_bytes));
    let queue = writer.queue.clone();
    let run = rand::random();
    let output = fern::Output::call(move |record| {
        let origin = Origin {
            process: &process,
            run,
            at: SystemTime::now(),
            up: clock(),
        };
        let line = line(record, &origin);
        lock(&queue).push(Class::of(record.level()), &line);
    });
    fern::Dispatch::new().level(level).chain(output).apply()?;
    Ok(writer)
}

impl Writer {
    /// Hands the waiting lines to the writer thread if it is free; never blocks. Must be called at
    /// regular intervals: each batch costs one wake-up, whatever its number of lines.
    pub fn flush(&self) {
        let dropped = {
            let mut queue = lock(&self.queue);
            if queue.is_empty() {
                return;
            }
            queue.take_dropped()
        };
        if let Some([calm, changes, failures]) = dropped {
            for (class, count) in [("calm", calm), ("change", changes), ("failure", failures)] {
                metrics::counter!("medlarhatch_log_lines_dropped_total", "class" => class)
                    .increment(count);
            }
            log::warn!(calm, changes, failures; "Log lines were dropped");
        }
        let mut queue = lock(&self.queue);
        let batch = queue.take();
        let size = batch.len() as u64;
        if let Err(error) = self.batches.try_send(batch) {
            let (std::sync::mpsc::TrySendError::Full(batch)
            | std::sync::mpsc::TrySendError::Disconnected(batch)) = error;
            queue.put_back(batch);
            return;
        }
        *lock(&self.sent_bytes) += size;
    }

    /// Writes the waiting lines when the process stops, for at most `timeout`.
    pub fn finish(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            self.flush();
            let waiting = !lock(&self.queue).is_empty()
                || *lock(&self.written_bytes) < *lock(&self.sent_bytes);
            if !waiting {
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn write(batches: &Receiver<Vec<u8>>, mut out: impl Write, written_bytes: &Mutex<u64>) {
    for batch in batches {
        // The reader is gone, and there is nowhere else to report it.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        *lock(written_bytes) += batch.len() as u64;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
