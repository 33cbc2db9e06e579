//! Evidence that a server still leads its group.
//!
//! A primary that is cut off does not learn that it was replaced, so its own claim to lead proves
//! nothing where the platform does not demote it. A promotion pauses every replica first, unless
//! the primary itself was demoted. A replica that was not paused at some time therefore shows that
//! a primary which still accepts transactions had not been replaced at that time.

use std::collections::VecDeque;

use siskinhook_types::Term;

use crate::{BootInstant, Watermark};

/// Claims that are kept until a replica confirms them.
const MAX_CLAIMS: usize = 32;

/// The claims of a group's primary, and the latest confirmation by a replica.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// Term of the latest confirmation, and the time at which the replica was not paused yet.
    confirmed: Option<(Term, BootInstant)>,
    /// Claims later than the confirmation, oldest first, all of one term.
    claims: VecDeque<Watermark>,
}

impl Leadership {
    /// Records that a server claimed to lead at `claim.at`, with the end of its log. The log of a
    /// new primary ends in an older term until its first commit, so another server's log that goes
    /// further does not confirm the claim: it may belong to the replaced primary. Returns the
    /// watermark that the claim proves together with the latest confirmation.
    pub fn claim(&mut self, claim: Watermark) -> Option<Watermark> {
        if self
            .claims
            .back()
            .is_some_and(|last| claim.point.term < last.point.term)
        {
            return None;
        }
        self.claims
            .retain(|known| known.point.term == claim.point.term);
        let confirmed = self.confirmation(claim.point.term);
        if confirmed.is_none_or(|at| at < claim.at) {
            if self.claims.len() >= MAX_CLAIMS {
                self.claims.pop_front();
            }
            self.claims.push_back(claim);
        }
        let at = confirmed?.min(claim.at);
        Some(Watermark { at, ..claim })
    }

    /// Records that a replica of `term` was not paused at `at`. Returns the claims that this proves.
    pub fn confirm(&mut self, term: Term, at: BootInstant) -> Vec<Watermark> {
        if self.confirmed.is_some_and(|known| known >= (term, at)) {
            return Vec::new();
        }
        self.confirmed = Some((term, at));
        self.claims.retain(|claim| claim.point.term >= term);
        let proved = self
            .claims
            .iter()
            .take_while(|claim| claim.point.term == term && claim.at <= at);
        let count = proved.count();
        self.claims.drain(..count).collect()
    }

    /// Returns the time of the latest confirmation in `term`.
    #[must_use]
    pub fn confirmation(&self, term: Term) -> Option<BootInstant> {
        self.confirmed
            .filter(|(known, _)| *known == term)
            .map(|(_, at)| at)
    }
}
