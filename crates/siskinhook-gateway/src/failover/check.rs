//! Reading of the failover lease row for writes that need to know whether a replacement is pending.

use std::{cell::Cell, time::Duration};

use siskinhook_telemetry::{Event, event};
use siskinhook_types::{Platform, Reading};
use tokio::time::{Instant, sleep};

use super::{Controller, Discovery, Orders, lease::LeaseRecord};
use crate::{
    Dialer,
    write_permit::{PendingReplacement, REPLACEMENT_LIFETIME},
};

/// Minimum time between two readings of the row. A promotion takes several hundred milliseconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Answers the requests of writes for a reading of the lease row; runs until dropped.
pub(super) async fn answer_checks<D: Dialer, P: Platform, S: Discovery, O: Orders>(
    controller: &Controller<D, P, S, O>,
) {
    let Some(admission) = &controller.group.admission else {
        return;
    };
    let first_era = Cell::new(None);
    loop {
        admission.wait_requested().await;
        let at = Instant::now();
        controller.gateway.counters.store_calls.add(1);
        match controller.read_record().await {
            Ok((reading, record)) => {
                let first = first_era.get().unwrap_or(reading.era);
                first_era.set(Some(first));
                admission.record_check(at, pending_replacement(&reading, &record, first));
            }
            Err(error) => {
                controller.gateway.counters.store_failures.add(1);
                event!(Event::StoreLost, table = "failover"; "{error}");
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the replacement that may be pending according to a reading of the row. `first_era` is
/// the era of the first reading by this process.
fn pending_replacement(
    reading: &Reading,
    record: &LeaseRecord,
    first_era: u64,
) -> Option<PendingReplacement> {
    // The copy that the store came back from may lack the row of a replacement that is pending.
    let row_may_be_lost =
        record.era != reading.era && (record.token > 0 || reading.era > first_era);
    if row_may_be_lost {
        let any_term = PendingReplacement { term: u64::MAX };
        return (reading.era_age < REPLACEMENT_LIFETIME).then_some(any_term);
    }
    record.pending_at(reading.clock.unwrap_or_default())
}
