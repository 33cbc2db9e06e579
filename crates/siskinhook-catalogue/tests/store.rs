//! Tests of `CatalogueStore`: concurrent edits, lost answers, repeated ids, outages, undo and
//! snapshots.

mod common;

use assert_matches::assert_matches;
use common::{author, edit, shiftdesk, uze};
use futures::future::join_all;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use siskinhook_catalogue::{
    Accepted, AuditAction, CatalogueReader, CatalogueStore, EditError, SNAPSHOT_INTERVAL, Snapshot,
    UndoRequest,
};
use siskinhook_platform::{Fault, MemoryPlatform};
use siskinhook_types::{Catalogue, Entry, Platform, Revision};

/// Reads by an edit before its commit: revision, changes, end of the audit trail, edit id.
const READS_BEFORE_COMMIT: usize = 4;

type Store = CatalogueStore<MemoryPlatform>;

fn with_queue(mut entry: Entry, queue: u32) -> Entry {
    entry.limits.queue = queue;
    entry
}

/// Returns a platform with both entries (revisions 1 and 2), and the stores of two nodes.
async fn start_platform() -> (MemoryPlatform, Store, Store) {
    let platform = MemoryPlatform::default();
    let stores = [1, 2].map(|seed| Store::new(platform.clone(), seed));
    for (id, entry) in [("new-1", shiftdesk()), ("new-2", uze())] {
        stores[0]
            .accept(&edit(id, 0, &entry))
            .await
            .expect("a new entry");
    }
    let [first, second] = stores;
    (platform, first, second)
}

fn accepted(revision: Revision) -> Accepted {
    Accepted {
        revision,
        repeated: false,
    }
}

fn undo_request(revision: Revision) -> UndoRequest {
    UndoRequest {
        revision,
        id: "undo".into(),
        author: author("sabarmati"),
        confirmed: false,
    }
}

/// Rebuilds the catalogue from all changes, without snapshots and caches.
async fn replay(platform: &MemoryPlatform) -> Snapshot {
    let reader = CatalogueReader::new(platform.clone());
    let mut snapshot = Snapshot::default();
    reader
        .catch_up(&mut snapshot)
        .await
        .expect("the platform is up");
    snapshot
}

async fn queue(platform: &MemoryPlatform, service: &str) -> u32 {
    replay(platform).await.catalogue.entries[service]
        .limits
        .queue
}

#[tokio::test(start_paused = true)]
async fn edits_of_different_entries_are_both_accepted() {
    let (platform, first, second) = start_platform().await;
    for round in 0..20 {
        let current = replay(&platform).await;
        let ids = [format!("a-{round}"), format!("b-{round}")];
        let a = edit(
            &ids[0],
            current.revisions["shiftdesk-db"],
            &with_queue(shiftdesk(), 1 + round),
        );
        let b = edit(
            &ids[1],
            current.revisions["uze-core"],
            &with_queue(uze(), 1 + round),
        );
        let (a, b) = tokio::join!(first.accept(&a), second.accept(&b));
        let mut revisions = [a.unwrap().revision, b.unwrap().revision];
        revisions.sort_unstable();
        assert_eq!(
            revisions,
            [
                current.catalogue.revision + 1,
                current.catalogue.revision + 2
            ]
        );
    }
    assert_eq!(queue(&platform, "shiftdesk-db").await, 20);
    assert_eq!(queue(&platform, "uze-core").await, 20);
}

/// The second of two concurrent edits must not silently overwrite the first.
#[tokio::test(start_paused = true)]
async fn second_edit_of_the_same_entry_is_refused_with_the_difference() {
    let (platform, first, second) = start_platform().await;
    let a = edit("a", 1, &with_queue(shiftdesk(), 111));
    let b = edit("b", 1, &with_queue(shiftdesk(), 222));
    let (a, b) = tokio::join!(first.accept(&a), second.accept(&b));
    let (winner, loser) = if a.is_ok() { (111, b) } else { (222, a) };
    assert_eq!(queue(&platform, "shiftdesk-db").await, winner);
    let Err(EditError::Stale {
        revision: 3,
        difference,
        operator,
        ..
    }) = loser
    else {
        panic!("{loser:?}");
    };
    assert_eq!(operator.unwrap(), "hetal");
    assert!(difference.contains("-    \"queue\": 500"), "{difference}");
    assert!(
        difference.contains(&format!("+    \"queue\": {winner}")),
        "{difference}"
    );
}

#[tokio::test(start_paused = true)]
async fn edit_of_a_removed_entry_is_refused() {
    let (_platform, first, second) = start_platform().await;
    let mut removal = edit("gone", 1, &shiftdesk());
    removal.entry = None;
    assert_matches!(first.accept(&removal).await, Err(EditError::Dangerous(_)));
    removal.confirmed = true;
    assert_eq!(first.accept(&removal).await, Ok(accepted(3)));
    let late = edit("late", 1, &with_queue(shiftdesk(), 9));
    assert_matches!(
        second.accept(&late).await,
        Err(EditError::Stale { revision: 0, .. })
    );
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_resolved_by_the_edit_id() {
    let (platform, first, second) = start_platform().await;
    let change = edit("lost", 1, &with_queue(shiftdesk(), 42));
    platform.inject([Fault::None; READS_BEFORE_COMMIT]);
    platform.inject([Fault::LoseAnswer]);
    assert_eq!(first.accept(&change).await, Ok(accepted(3)));
    assert_eq!(replay(&platform).await.catalogue.revision, 3);
    // The operator's tool repeats the edit on another node.
    assert_eq!(
        second.accept(&change).await,
        Ok(Accepted {
            revision: 3,
            repeated: true
        })
    );
    assert_eq!(replay(&platform).await.catalogue.revision, 3);
}

#[tokio::test(start_paused = true)]
async fn outage_after_a_lost_answer_is_reported_as_unknown() {
    let (platform, first, second) = start_platform().await;
    let change = edit("unsure", 1, &with_queue(shiftdesk(), 42));
    platform.inject([Fault::None; READS_BEFORE_COMMIT]);
    platform.inject([Fault::LoseAnswer]);
    platform.inject([Fault::Refuse; 1000]);
    let error = first.accept(&change).await.unwrap_err();
    assert_matches!(&error, EditError::Unknown { id, .. } if id == "unsure");
    assert!(error.to_string().contains("--id unsure"));
    platform.inject([]);
    while platform.get("x").await.is_err() {}
    assert_eq!(
        second.accept(&change).await,
        Ok(Accepted {
            revision: 3,
            repeated: true
        })
    );
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_edits_and_leaves_the_catalogue_unchanged() {
    let (platform, first, _) = start_platform().await;
    let change = edit("later", 1, &with_queue(shiftdesk(), 42));
    platform.set_down(true);
    assert_matches!(first.accept(&change).await, Err(EditError::Unavailable(_)));
    platform.set_down(false);
    assert_eq!(replay(&platform).await.catalogue.revision, 2);
    assert_eq!(first.accept(&change).await, Ok(accepted(3)));
}

#[tokio::test(start_paused = true)]
async fn edit_id_cannot_be_reused_for_another_edit() {
    let (_, first, _) = start_platform().await;
    assert_eq!(
        first
            .accept(&edit("e", 1, &with_queue(shiftdesk(), 1)))
            .await,
        Ok(accepted(3))
    );
    let other = edit("e", 3, &with_queue(shiftdesk(), 2));
    assert_matches!(
        first.accept(&other).await,
        Err(EditError::IdUsed { revision: 3, .. })
    );
    let bad = edit("a/b", 3, &with_queue(shiftdesk(), 2));
    assert_matches!(first.accept(&bad).await, Err(EditError::Invalid(_)));
}

#[tokio::test(start_paused = true)]
async fn partner_edits_only_its_own_entries() {
    let (platform, first, _) = start_platform().await;
    let mut foreign = edit("f", 2, &with_queue(uze(), 1));
    foreign.author = author("sabarmati");
    assert_matches!(
        first.accept(&foreign).await,
        Err(EditError::NotOwner { .. })
    );
    // Taking over an entry by changing its owner is refused as well.
    let mut entry = uze();
    entry.owner = "sabarmati".into();
    assert_matches!(
        first.accept(&edit("t", 2, &entry)).await,
        Err(EditError::NotOwner { .. })
    );
    assert_eq!(replay(&platform).await.catalogue.revision, 2);
}

#[tokio::test(start_paused = true)]
async fn faulty_and_empty_edits_are_refused() {
    let (_, first, _) = start_platform().await;
    assert_matches!(
        first.accept(&edit("same", 1, &shiftdesk())).await,
        Err(EditError::Unchanged(_))
    );
    let mut entry = shiftdesk();
    entry.databases.insert(
        "empty".into(),
        siskinhook_types::Database { servers: vec![] },
    );
    let Err(EditError::Invalid(faults)) = first.accept(&edit("empty", 1, &entry)).await else {
        panic!("a new database without servers is refused");
    };
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].starts_with("databases.empty.servers: "),
        "{faults:?}"
    );
    let mut renamed = edit("rename", 1, &shiftdesk());
    renamed.entry.as_mut().unwrap().name = "other".into();
    assert_matches!(first.accept(&renamed).await, Err(EditError::Invalid(_)));
}

#[tokio::test(start_paused = true)]
async fn undo_restores_the_entry_by_a_new_revision() {
    let (platform, first, second) = start_platform().await;
    assert_eq!(
        first
            .accept(&edit("e", 1, &with_queue(shiftdesk(), 9)))
            .await,
        Ok(accepted(3))
    );
    assert_eq!(second.undo(undo_request(3)).await, Ok(accepted(4)));
    assert_eq!(
        replay(&platform).await.catalogue.entries["shiftdesk-db"],
        shiftdesk()
    );
    // A repeated undo is applied only once.
    let again = second.undo(undo_request(3)).await;
    assert_eq!(
        again,
        Ok(Accepted {
            revision: 4,
            repeated: true
        })
    );
    let history = first.history("shiftdesk-db", 10).await.unwrap();
    let revisions: Vec<_> = history
        .iter()
        .map(|record| match &record.draft.action {
            AuditAction::Edit {
                revision, undoes, ..
            } => (*revision, *undoes),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(revisions, [(4, Some(3)), (3, None), (1, None)]);
}

#[tokio::test(start_paused = true)]
async fn undo_of_an_older_change_is_refused() {
    let (_, first, _) = start_platform().await;
    assert_eq!(
        first
            .accept(&edit("e", 1, &with_queue(shiftdesk(), 9)))
            .await,
        Ok(accepted(3))
    );
    assert_matches!(
        first.undo(undo_request(1)).await,
        Err(EditError::Stale { revision: 3, .. })
    );
    assert_matches!(
        first.undo(undo_request(77)).await,
        Err(EditError::NoUndo(_))
    );
}

/// A new node reads the newest snapshot and few changes, and gets the same catalogue as from all
/// changes.
#[tokio::test(start_paused = true)]
async fn snapshot_and_later_changes_give_the_catalogue() {
    let (platform, first, _) = start_platform().await;
    let mut base = 1;
    for n in 0..150 {
        let change = edit(&format!("e-{n}"), base, &with_queue(shiftdesk(), n + 1));
        base = first.accept(&change).await.unwrap().revision;
    }
    let row = platform.get("catalogue/snapshot").await.unwrap().unwrap();
    assert_eq!(row.value, 2 * SNAPSHOT_INTERVAL);
    // Nodes decode the object as a plain catalogue.
    let object = platform
        .get_object("catalogue/snapshot/128")
        .await
        .unwrap()
        .unwrap();
    let catalogue: Catalogue = serde_json::from_slice(&object).unwrap();
    assert_eq!((catalogue.revision, catalogue.entries.len()), (128, 2));
    let before = platform.calls();
    let loaded = CatalogueReader::new(platform.clone()).load().await.unwrap();
    assert!(platform.calls() - before <= 3);
    assert_eq!(loaded, replay(&platform).await);
    assert_eq!(loaded.catalogue.revision, 152);
}

/// Four nodes edit both entries while the platform refuses calls and loses answers. Each accepted
/// edit must be applied exactly once, at its reported revision and on its stated base, with no gap
/// between revisions; an edit reported as not accepted must not be applied.
#[tokio::test(start_paused = true)]
async fn random_faults_neither_lose_nor_duplicate_edits() {
    for seed in 0..30 {
        println!("seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let (platform, ..) = start_platform().await;
        let stores: Vec<Store> = (0..4)
            .map(|n| Store::new(platform.clone(), 4 * seed + n))
            .collect();
        let mut outcomes = Vec::new();
        for round in 0..8 {
            platform.inject((0..30).map(|_| match random.random_range(0..10) {
                0 => Fault::Refuse,
                1 => Fault::LoseAnswer,
                _ => Fault::None,
            }));
            let current = replay_with_retries(&platform).await;
            let edits: Vec<_> = (0..4)
                .map(|node| {
                    let entry: Entry = if node % 2 == 0 { shiftdesk() } else { uze() };
                    let base = current.revisions[&entry.name];
                    let id = format!("e-{round}-{node}");
                    edit(&id, base, &with_queue(entry, 1 + round * 4 + node))
                })
                .collect();
            let results = join_all(stores.iter().zip(&edits).map(|(s, e)| s.accept(e))).await;
            outcomes.extend(edits.into_iter().zip(results));
        }
        platform.inject([]);
        while platform.calls() < 10_000 && platform.get("x").await.is_err() {}
        let mut snapshot = Snapshot::default();
        let reader = CatalogueReader::new(platform.clone());
        while reader.revision().await.is_err() {}
        let changes = loop {
            if let Ok(changes) = reader.changes(0).await {
                break changes;
            }
        };
        for change in &changes {
            let base = snapshot
                .revisions
                .get(&change.service)
                .copied()
                .unwrap_or(0);
            assert!(snapshot.apply(change), "revisions have no gap");
            if let Some((edit, _)) = outcomes.iter().find(|(e, _)| e.id == change.edit) {
                assert_eq!(edit.base, base, "edit {} overwrote another", edit.id);
            }
        }
        let mut accepted_count = 0;
        for (edit, result) in &outcomes {
            let applied: Vec<_> = changes.iter().filter(|c| c.edit == edit.id).collect();
            match result {
                Ok(accepted) => {
                    assert_eq!(applied.len(), 1, "{}", edit.id);
                    assert_eq!(applied[0].revision, accepted.revision);
                    accepted_count += 1;
                }
                Err(EditError::Unknown { .. }) => assert!(applied.len() <= 1),
                Err(_) => assert_eq!(applied.len(), 0, "{} {result:?}", edit.id),
            }
        }
        assert!(
            accepted_count >= 4,
            "too few edits were accepted to test anything"
        );
    }
}

async fn replay_with_retries(platform: &MemoryPlatform) -> Snapshot {
    let reader = CatalogueReader::new(platform.clone());
    let mut snapshot = Snapshot::default();
    while reader.catch_up(&mut snapshot).await.is_err() {}
    snapshot
}
