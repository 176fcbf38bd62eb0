//! The process's view of the platform: the configuration and the member list as last read from the
//! platform store or from peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use citronrill_pool::{ConfigFetchEvent, EntryEvent, Member, MemberChange, StoreVersion};
use citronrill_wire::{ConfigChunk, ConfigChunkRequest, EncodedConfig, MemberRow, Snapshot};
use tokio::sync::watch;

use crate::{
    config_transfer::ConfigTransfer,
    dialect::{Dialect, RowValue, StoreRow, Table},
    entry::{EventSender, LoadedConfig},
};

/// Maximum number of undecodable member list rows that are logged by key; other writers of the
/// list may write thousands.
const MAX_LOGGED_UNREADABLE: usize = 64;
/// Maximum number of logged characters of a decoder's error, which may quote its input.
const MAX_REASON_CHARS: usize = 160;

/// The configuration and the member list as last read, shared by the tasks that read them.
#[derive(Clone)]
pub(crate) struct PlatformView {
    dialect: Arc<dyn Dialect>,
    events: EventSender,
    transfer: ConfigTransfer<SocketAddr>,
    config: Arc<watch::Sender<Option<LoadedConfig>>>,
    /// Notified when the store answers again for a table after an outage.
    regained: Arc<watch::Sender<()>>,
    /// The newest era of the store's history; `None` before a response named one.
    era: Arc<watch::Sender<Option<u64>>>,
    members: Arc<Mutex<MemberList>>,
}

/// The member list, encoded as in the platform store.
#[derive(Default)]
struct MemberList {
    /// Unknown until the list has been read from the store or a peer.
    version: StoreVersion,
    rows: BTreeMap<String, Vec<u8>>,
    /// Keys of undecodable rows that were logged.
    unreadable: BTreeSet<String>,
}

impl MemberList {
    /// Logs an undecodable row once until it can be decoded again, and at most
    /// [`MAX_LOGGED_UNREADABLE`] rows.
    fn log_unreadable(&mut self, key: &str, reason: &str) {
        let room = self.unreadable.len() < MAX_LOGGED_UNREADABLE;
        if room && self.unreadable.insert(key.to_owned()) {
            let reason = reason.chars().take(MAX_REASON_CHARS).collect::<String>();
            log::warn!("event=member_unreadable instance={key:?} error={reason:?}");
        }
    }
}

impl PlatformView {
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        events: EventSender,
        transfer: ConfigTransfer<SocketAddr>,
    ) -> PlatformView {
        let config = Arc::new(watch::Sender::new(None));
        let regained = Arc::new(watch::Sender::new(()));
        let era = Arc::new(watch::Sender::new(None));
        PlatformView { dialect, events, transfer, config, regained, era, members: Arc::default() }
    }

    /// Decodes a configuration without API keys and keeps it if it is newer.
    pub(crate) fn offer_config(&self, bytes: &[u8], source: &str) {
        let config = match self.dialect.decode_config(bytes) {
            Ok(config) => config,
            Err(error) => {
                log::warn!("event=text_unreadable source={source} error=\"{error}\"");
                return;
            }
        };
        let encoded = EncodedConfig { version: config.version, bytes: bytes.to_vec() };
        let loaded = LoadedConfig { encoded, config: Arc::new(config) };
        let newer = self.config.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|current| current.encoded.version < loaded.encoded.version);
            if newer {
                *current = Some(loaded.clone());
            }
            newer
        });
        if newer {
            let (version, size) = (loaded.encoded.version, loaded.encoded.bytes.len());
            let organisations = loaded.config.organisations.as_ref();
            let (orgs, shared) =
                organisations.map_or((0, 0), |all| (all.iter().count(), all.shared_keys()));
            log::info!(
                "event=text_read source={source} version={version} bytes={size} orgs={orgs} \
                 shared_keys={shared}"
            );
            self.transfer.send_event(ConfigFetchEvent::OwnVersion(version));
            self.events.send(EntryEvent::Config(loaded.config));
        }
    }

    /// Decodes a configuration from the store, which has API keys.
    fn offer_store_config(&self, bytes: &[u8]) {
        match self.dialect.shareable_config(bytes) {
            Ok(bytes) => self.offer_config(&bytes, "store"),
            Err(error) => log::warn!("event=text_unreadable source=store error=\"{error}\""),
        }
    }

    /// Applies rows from the store; with `complete`, they are the whole table.
    pub(crate) fn apply_rows(
        &self,
        table: Table,
        version: StoreVersion,
        rows: Vec<StoreRow>,
        complete: bool,
    ) {
        match table {
            Table::Text => {
                let configs = rows.iter().filter(|row| self.dialect.is_config_key(&row.key));
                for row in configs {
                    match &row.value {
                        RowValue::Bytes(bytes) => self.offer_store_config(bytes),
                        RowValue::Removed => log::warn!("event=text_removed source=store"),
                        RowValue::Unreadable(reason) => {
                            log::warn!("event=text_unreadable source=store error={reason:?}");
                        }
                    }
                }
            }
            Table::Members => self.apply_members(version, complete, rows),
        }
    }

    /// Reports whether the store has confirmed that the configuration is current.
    pub(crate) fn set_config_current(&self, current: bool) {
        self.events.send(EntryEvent::ConfigCurrent(current));
    }

    /// Notifies pending calls that the store answers again for a table after an outage.
    pub(crate) fn notify_regained(&self) {
        self.regained.send_replace(());
    }

    /// Completes the next time that the store answers again for a table after an outage.
    pub(crate) fn wait_regained(&self) -> impl Future<Output = ()> + use<> {
        let mut regained = self.regained.subscribe();
        async move {
            // Without its sender there are no more notifications.
            if regained.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    /// Records the era of a response of the store.
    pub(crate) fn note_era(&self, era: u64) {
        self.era.send_if_modified(|known| {
            let newer = Some(era) > *known;
            *known = Some(era).max(*known);
            newer
        });
    }

    /// Subscribes to the era of the store's history.
    pub(crate) fn subscribe_era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Reports that the configuration is arriving from the store, so no peer needs to be asked for it.
    pub(crate) fn report_store_progress(&self) {
        self.transfer.send_event(ConfigFetchEvent::StoreProgress);
    }

    /// Subscribes to changes of the configuration.
    pub(crate) fn subscribe_config(&self) -> watch::Receiver<Option<LoadedConfig>> {
        self.config.subscribe()
    }

    /// Applies rows of the member list; with `complete`, members without a row are removed.
    fn apply_members(&self, version: StoreVersion, complete: bool, rows: Vec<StoreRow>) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if complete {
            members.rows.clear();
        }
        members.version = members.version.max(version);
        let rows = rows.into_iter().map(|row| self.apply_row(&mut members, row)).collect();
        drop(members);
        self.events.send(EntryEvent::Members(MemberChange { complete, version, rows }));
    }

    /// Applies one row of the member list.
    ///
    /// Not only endpoints write rows. A row that cannot be decoded removes its endpoint, even if an
    /// earlier version of the row was valid, and is not sent to peers.
    fn apply_row(&self, members: &mut MemberList, row: StoreRow) -> (String, Option<Member>) {
        let StoreRow { key, value } = row;
        let decoded = match value {
            RowValue::Removed => Ok(None),
            RowValue::Bytes(bytes) => match self.dialect.decode_member(&key, &bytes) {
                Ok(member) => Ok(Some((member, bytes))),
                Err(error) => Err(error.to_string()),
            },
            RowValue::Unreadable(reason) => Err(reason),
        };
        members.rows.remove(&key);
        match decoded {
            Ok(found) => {
                members.unreadable.remove(&key);
                let (member, bytes) = found.unzip();
                members.rows.extend(bytes.map(|bytes| (key.clone(), bytes)));
                (key, member)
            }
            Err(reason) => {
                members.log_unreadable(&key, &reason);
                (key, None)
            }
        }
    }

    /// Returns whether the member list is known.
    fn members_known(&self) -> bool {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.version.is_known()
    }

    /// Returns whether both the configuration and the member list are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.members_known() && self.config.borrow().is_some()
    }

    /// Returns the version of the configuration; 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |loaded| loaded.encoded.version)
    }

    /// Answers a peer's request for a chunk of the configuration.
    pub(crate) fn config_chunk(
        &self,
        peer: SocketAddr,
        request: &ConfigChunkRequest,
    ) -> ConfigChunk {
        let config = self.config.borrow();
        self.transfer.serve_chunk(peer, request, config.as_ref().map(|loaded| &loaded.encoded))
    }

    /// Handles the end of a connection to a peer that may have requested chunks.
    pub(crate) fn peer_disconnected(&self, peer: SocketAddr) {
        self.transfer.disconnect(peer);
    }

    /// Returns the snapshot for a peer; `None` until configuration and member list are known.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let config = self.config_version();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let complete = config > 0 && members.version.is_known();
        let rows = members.rows.iter();
        let rows = rows.map(|(name, bytes)| MemberRow { name: name.clone(), bytes: bytes.clone() });
        complete.then(|| Snapshot {
            config_version: config,
            list_version: members.version.version,
            list_era: members.version.era,
            members: rows.collect(),
        })
    }

    /// Applies a peer's member list if none is known yet.
    pub(crate) fn apply_snapshot(&self, snapshot: Snapshot, peer: SocketAddr) {
        let count = snapshot.members.len();
        let version = StoreVersion { era: snapshot.list_era, version: snapshot.list_version };
        if !version.is_known() {
            return;
        }
        log::info!("event=snapshot_read peer={peer} list={version} members={count}");
        if !self.members_known() {
            let rows = snapshot.members.into_iter();
            let rows =
                rows.map(|row| StoreRow { key: row.name, value: RowValue::Bytes(row.bytes) });
            self.apply_members(version, true, rows.collect());
        }
    }
}
