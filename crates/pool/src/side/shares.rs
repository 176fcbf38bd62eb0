//! Shares of organisations in the room of a service, divided for all entries.

use citronrill_decide::LogEvent;
use citronrill_wire::{ShareKind, ShareMessage};

use super::{EntryLink, PoolSide, SideEffect};

impl PoolSide {
    /// Handles a message about shares from an entry.
    pub(super) fn handle_shares(&mut self, link: EntryLink, message: ShareMessage) {
        let Some(ShareKind::Report(report)) = message.kind else {
            self.log(LogEvent::new("share_unreadable").with("from", link));
            return;
        };
        let config = self.config.clone();
        let organisations = config.as_ref().and_then(|config| config.organisations.as_ref());
        if let Some(reply) = self.shares.report(link, report, organisations, self.now) {
            let message = ShareKind::Reply(reply).into();
            self.effects.push(SideEffect::Shares(link, message));
        }
    }
}
