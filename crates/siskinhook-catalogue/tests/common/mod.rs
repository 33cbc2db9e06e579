//! Sample entries and edits.

use siskinhook_catalogue::{Author, Edit, parse_entry};
use siskinhook_types::{Entry, Revision};

pub const SHIFTDESK: &str = r#"{
  "name": "shiftdesk-db",
  "owner": "sabarmati",
  "class": "Short",
  "limits": { "slots": 2, "connections": 16, "queue": 500, "deadline": 5000 },
  "max_age": null,
  "credentials": "shiftdesk-targets",
  "databases": {
    "shifts": {
      "servers": [
        { "name": "shifts-1", "zone": "ahd-a", "address": "10.1.1.1:5432" },
        { "name": "shifts-2", "zone": "vdr-b", "address": "10.1.1.2:5432" },
        { "name": "shifts-3", "zone": "srt-c", "address": "10.1.1.3:5432" }
      ]
    },
    "payroll": {
      "servers": [
        { "name": "payroll-1", "zone": "ahd-a", "address": "10.1.2.1:5432" },
        { "name": "payroll-2", "zone": "vdr-b", "address": "10.1.2.2:5432" },
        { "name": "payroll-3", "zone": "srt-c", "address": "10.1.2.3:5432" }
      ]
    }
  }
}"#;

pub fn shiftdesk() -> Entry {
    parse_entry("shiftdesk.jsonc", SHIFTDESK).expect("the entry is valid")
}

/// Returns an entry of the other partner, with its own databases and servers.
pub fn uze() -> Entry {
    let text = SHIFTDESK
        .replace("shiftdesk-db", "uze-core")
        .replace("sabarmati", "uzarija")
        .replace("shifts", "braids")
        .replace("payroll", "royalties")
        .replace("10.1.", "10.2.");
    parse_entry("uze.jsonc", &text).expect("the entry is valid")
}

pub fn edit(id: &str, base: Revision, entry: &Entry) -> Edit {
    Edit {
        id: id.into(),
        service: entry.name.clone(),
        entry: Some(entry.clone()),
        base,
        author: author(&entry.owner),
        confirmed: false,
        undoes: None,
    }
}

/// Returns an operator of the partner as the author of an edit.
pub fn author(partner: &str) -> Author {
    Author {
        operator: if partner == "sabarmati" {
            "hetal"
        } else {
            "ante"
        }
        .into(),
        partner: partner.into(),
        origin: "entry-1 127.0.0.1".into(),
        reason: "test".into(),
        time: 1_000_000,
    }
}
