//! A consumer that reads its answer slowly is cut off at the idle timeout, in the middle of the answer.

use std::{
    io::Read,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use super::deployment;
use crate::{
    http::{
        Link,
        response,
        set_small_window, //
    },
    replica::Work,
    world::{
        self,
        Record, //
    },
};

/// Number of requests that a machine may lose on kept channels by the rule.
const MAX_LOST: usize = 3;
const CONSUMERS: usize = 8;
const SIZE: usize = 250_000;
const DEADLINE_MS: u64 = 60_000;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let work: Arc<Work> = Arc::new(|replica, request, link| {
        let body = vec![b'x'; SIZE];
        link.send(&response(200, &replica.signature(request), &body))
            .is_ok()
    });
    let Some((world, replicas)) = deployment(record, 1, 260, DEADLINE_MS, work) else {
        return 2;
    };
    let front = world.gateways[0].front;
    let mut consumers = Vec::new();
    for at in 0..CONSUMERS {
        let record = record.clone();
        consumers.push(thread::spawn(move || -> Result<(), String> {
            let id = format!("pay-{at}");
            let limit = Duration::from_millis(DEADLINE_MS);
            let mut link = Link::open(front, limit).map_err(|error| error.to_string())?;
            if trouble {
                set_small_window(&link.stream);
            }
            let head = world::head("POST", "/pay/1", &id, DEADLINE_MS);
            let request = format!("{head}Content-Length: 2\r\n\r\n{{}}");
            link.send(request.as_bytes())
                .map_err(|error| error.to_string())?;
            let began = Instant::now();
            let (mut got, mut piece) = (0, [0; 2_500]);
            let end = loop {
                if began.elapsed() >= limit {
                    break Err("the deadline has passed".to_string());
                }
                match link.stream.read(&mut piece) {
                    Ok(0) => break Err("closed".to_string()),
                    Err(error) => break Err(error.to_string()),
                    Ok(length) => got += length,
                }
                if got > SIZE {
                    break Ok(());
                }
                if trouble {
                    thread::sleep(Duration::from_millis(400));
                }
            };
            record.line(&format!(
                "{id}: {got} bytes in {:.1} s: {end:?}",
                began.elapsed().as_secs_f64()
            ));
            end
        }));
    }
    let ends: Vec<_> = consumers
        .into_iter()
        .map(|consumer| consumer.join())
        .collect();
    let cut = ends
        .iter()
        .filter(|end| matches!(end, Ok(Err(why)) if !why.contains("deadline")))
        .count();
    for run in replicas.iter().flat_map(|replica| replica.ran()) {
        record.line(&format!("{} ran {} ({})", run.replica, run.id, run.first));
    }
    record.line(&format!(
        "answers cut off before the deadline: {cut} (the rule allows {MAX_LOST})"
    ));
    i32::from(cut > MAX_LOST)
}
