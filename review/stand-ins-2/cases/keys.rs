//! A manifest takes away the keys of the only tenant, and the tenant.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    deployment,
    routes, //
};
use crate::{
    http, replica,
    world::{
        self,
        Record, //
    },
};

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let work = replica::plain(Duration::from_millis(15), 800);
    let Some((world, replicas)) = deployment(record, 2, 260, 4_000, work) else {
        return 2;
    };
    let manifest = world::manifest(7, &routes(4_000), &["writer"], &["ledger"]);
    let (before, _) = manifest
        .split_once("\"tenants\":")
        .unwrap_or((&manifest, ""));
    let tenants = match trouble {
        true => "[]",
        false => "[{\"name\":\"team-2\",\"apiKeys\":[\"key-2\"],\"priority\":1}]",
    };
    world
        .store
        .put("op/config", &format!("{before}\"tenants\":{tenants}}}"));
    let acked = Instant::now();
    record.line(&format!(
        "the manifest takes key-1 away: \"tenants\": {tenants}"
    ));
    let mut ran_late = 0;
    let mut number = 0;
    while acked.elapsed() < REVOKE + Duration::from_secs(5) {
        for gateway in &world.gateways {
            number += 1;
            let id = format!("pay-{number}");
            let sent = acked.elapsed();
            let head = world::head("POST", "/pay/1", &id, 4_000);
            let request = format!("{head}Content-Length: 2\r\n\r\n{{}}");
            let answer = http::call(gateway.front, request.as_bytes(), Duration::from_secs(4));
            let status = answer.map_or(0, |answer| answer.status());
            let ran = replicas
                .iter()
                .flat_map(|replica| replica.ran())
                .any(|run| run.id == id);
            record.note(&format!(
                "{id} with key-1, sent {:.2} s after the ack: {status}, ran: {ran}",
                sent.as_secs_f64()
            ));
            if ran && sent > REVOKE {
                ran_late += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "requests with key-1 that were sent over 5 s after the ack and ran: {ran_late}"
    ));
    i32::from(ran_late > 0)
}
