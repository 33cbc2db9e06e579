//! Tests of the audit trail: queueing during outages, lost answers and queries.

mod common;

use common::{edit, shiftdesk, uze};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_catalogue::{
    AuditAction, AuditDraft, AuditLog, AuditQuery, AuditTrail, CatalogueStore,
};
use siskinhook_platform::{Fault, MemoryPlatform};
use siskinhook_types::Platform;

fn promotion(node: &str, number: u64) -> AuditDraft {
    AuditDraft {
        id: format!("{node}-{number}").into(),
        time: 1_000_000 + number * 1000,
        person: node.into(),
        partner: None,
        origin: node.into(),
        service: Some("shiftdesk-db".into()),
        reason: "primary shifts-1 did not answer for 750 ms".into(),
        action: AuditAction::Promotion {
            database: "shifts".into(),
            server: "shifts-2".into(),
            term: number,
        },
    }
}

async fn record_ids(platform: &MemoryPlatform) -> Vec<String> {
    let query = AuditQuery {
        limit: usize::MAX,
        ..AuditQuery::default()
    };
    let records = AuditTrail::new(platform.clone())
        .query(&query)
        .await
        .expect("the platform is up");
    let sequences: Vec<u64> = records.iter().rev().map(|r| r.sequence).collect();
    assert_eq!(sequences, (1..=records.len() as u64).collect::<Vec<_>>());
    records
        .into_iter()
        .rev()
        .map(|r| r.draft.id.to_string())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn records_queued_during_an_outage_are_written_afterwards() {
    let platform = MemoryPlatform::default();
    let log = AuditLog::new(platform.clone());
    platform.set_down(true);
    for number in 0..100 {
        log.record(promotion("n1", number));
    }
    assert!(log.flush().await.is_err());
    assert_eq!(log.queue_counts(), (100, 0));
    platform.set_down(false);
    assert_eq!(log.flush().await, Ok(()));
    assert_eq!(log.queue_counts(), (0, 0));
    assert_eq!(record_ids(&platform).await.len(), 100);
}

#[tokio::test(start_paused = true)]
async fn queue_is_bounded_and_counts_dropped_records() {
    let log = AuditLog::new(MemoryPlatform::default());
    for number in 0..5000 {
        log.record(promotion("n1", number));
    }
    assert_eq!(log.queue_counts(), (4096, 904));
}

/// Two nodes and an operator write the trail while the platform refuses calls and loses answers. A
/// retry must not write a record twice or skip one: each record is stored once, records of one node
/// keep their order, and the sequence numbers have no gap.
#[tokio::test(start_paused = true)]
async fn lost_answers_neither_lose_nor_duplicate_records() {
    for seed in 0..40 {
        println!("seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let platform = MemoryPlatform::default();
        let logs = ["n1", "n2"].map(|node| (node, AuditLog::new(platform.clone())));
        let store = CatalogueStore::new(platform.clone(), 1);
        let mut expected = Vec::new();
        let mut base = 0;
        for number in 0..40 {
            platform.inject((0..6).map(|_| match random.random_range(0..6) {
                0 => Fault::Refuse,
                1 | 2 => Fault::LoseAnswer,
                _ => Fault::None,
            }));
            for (node, log) in &logs {
                log.record(promotion(node, number));
                expected.push(format!("{node}-{number}"));
            }
            let id = format!("edit-{number}");
            let mut entry = shiftdesk();
            entry.limits.deadline = 1 + number;
            let change = edit(&id, base, &entry);
            let (_, _, accepted) =
                tokio::join!(logs[0].1.flush(), logs[1].1.flush(), store.accept(&change));
            if let Ok(accepted) = accepted {
                base = accepted.revision;
                expected.push(id);
            } else {
                // Repeat the edit once the platform answers, so that the next round has its base.
                while platform.get("x").await.is_err() {}
                if let Ok(again) = store.accept(&change).await {
                    base = again.revision;
                    expected.push(id);
                }
            }
        }
        for (_, log) in &logs {
            while log.queue_counts().0 > 0 {
                let _ = log.flush().await;
            }
        }
        let found = record_ids(&platform).await;
        for (node, _) in &logs {
            let written: Vec<_> = found.iter().filter(|id| id.starts_with(node)).collect();
            let recorded: Vec<_> = expected.iter().filter(|id| id.starts_with(node)).collect();
            assert_eq!(written, recorded);
        }
        let mut found = found;
        found.sort_unstable();
        expected.sort_unstable();
        assert_eq!(found, expected);
    }
}

#[tokio::test(start_paused = true)]
async fn trail_is_queried_by_service_person_and_time() {
    let platform = MemoryPlatform::default();
    let store = CatalogueStore::new(platform.clone(), 1);
    let log = AuditLog::new(platform.clone());
    store.accept(&edit("a", 0, &shiftdesk())).await.unwrap();
    store.accept(&edit("b", 0, &uze())).await.unwrap();
    for number in 0..300 {
        log.record(promotion("n1", number));
    }
    log.flush().await.unwrap();
    let trail = AuditTrail::new(platform.clone());
    let count = async |query: AuditQuery| trail.query(&query).await.unwrap().len();
    let query = || AuditQuery {
        limit: 1000,
        ..AuditQuery::default()
    };
    assert_eq!(count(query()).await, 302);
    assert_eq!(
        count(AuditQuery {
            limit: 5,
            ..query()
        })
        .await,
        5
    );
    let service = Some("shiftdesk-db".into());
    assert_eq!(
        count(AuditQuery {
            service: service.clone(),
            ..query()
        })
        .await,
        301
    );
    let person = Some("hetal".into());
    assert_eq!(
        count(AuditQuery {
            person: person.clone(),
            ..query()
        })
        .await,
        1
    );
    assert_eq!(
        count(AuditQuery {
            service,
            person,
            ..query()
        })
        .await,
        1
    );
    let since = Some(1_000_000 + 290 * 1000);
    assert_eq!(count(AuditQuery { since, ..query() }).await, 10);
    let person = Some("n1".into());
    assert_eq!(
        count(AuditQuery {
            person,
            since,
            ..query()
        })
        .await,
        10
    );
    let newest = trail
        .query(&AuditQuery {
            limit: 1,
            ..query()
        })
        .await
        .unwrap();
    assert_eq!(newest[0].draft.id, "n1-299");
    assert_eq!(newest[0].sequence, 302);
}
