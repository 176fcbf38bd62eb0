//! Submits a configuration and reads the active one, for the operators' client.

use citronrill_base::{Outcome, Row, Txn};
use citronrill_config::{Catalogue, ConfigErrors, Delta, Registry, digest};
use citronrill_decide::rows::{DeltaRow, HEAD, HeadRow, decode, delta_key};
use citronrill_platform::{ObjectStore, PlatformError, Table};
use prost::Message;
use thiserror::Error;

/// Maximum size of a delta, in bytes. The row of a larger delta has no content, and every process
/// fetches the whole configuration.
const DELTA_LIMIT: usize = 32 << 10;
/// Start of the comment that gives the version, in the first line of a printed configuration.
const VERSION_PREFIX: &str = "; version ";
/// Maximum number of retries of a commit whose outcome is unknown.
const COMMIT_RETRIES: usize = 5;

/// The outcome of a submitted configuration that is not an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the active version.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// It is identical to the active configuration.
    Unchanged {
        /// The active version.
        version: u64,
    },
}

/// The reason why a configuration was not accepted. Nothing has changed, except possibly for
/// [`ApplyError::UnknownOutcome`].
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The configuration has errors.
    #[error("{0}")]
    InvalidConfig(#[from] ConfigErrors),
    /// The configuration does not state its base version.
    #[error(
        "the configuration names no base version: its first line must be `; version N`, as `show` prints it, or give --base N; version {current} is active"
    )]
    NoBase {
        /// The active version.
        current: u64,
    },
    /// Another configuration was accepted first.
    #[error(
        "the configuration is based on version {base}, but version {current} is active; nothing was changed"
    )]
    Conflict {
        /// The base version of the configuration.
        base: u64,
        /// The active version.
        current: u64,
    },
    /// The platform store does not answer.
    #[error("the platform store does not answer; nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// The platform store did not confirm the commit, and its outcome cannot be determined.
    #[error("the platform store did not confirm the commit; run `citronrill show` once it answers")]
    UnknownOutcome,
    /// The object named in the head row is missing.
    #[error("the configuration of version {0} is not in the object store")]
    MissingObject(u64),
}

/// Reads the head row and its row version. The head has version 0 if there is no configuration.
///
/// # Errors
/// The platform table does not answer.
pub fn config_head(table: &dyn Table) -> Result<(HeadRow, u64), PlatformError> {
    let rows = table.read(&[HEAD.to_owned()])?;
    let row = rows.into_iter().next().unwrap_or_default();
    Ok((decode(&row.body).unwrap_or_default(), row.version))
}

/// Reads the active configuration and its head row.
///
/// # Errors
/// The platform store does not answer, or has lost the configuration.
pub fn current_config(
    table: &dyn Table,
    objects: &dyn ObjectStore,
) -> Result<(HeadRow, String), ApplyError> {
    let (head, _) = config_head(table)?;
    if head.version == 0 {
        return Ok((head, String::new()));
    }
    let body = objects.get(&head.object)?.ok_or(ApplyError::MissingObject(head.version))?;
    let config = String::from_utf8(body).map_err(|_| ApplyError::MissingObject(head.version))?;
    Ok((head, config))
}

/// Returns the base version that a configuration states in its first line.
pub fn base_version(config: &str) -> Option<u64> {
    let base = config.lines().next()?.strip_prefix(VERSION_PREFIX)?;
    base.trim().parse().ok()
}

/// Submits the configuration `config` as the version after `base`.
///
/// The object is written first. Its name contains the digest of the configuration, so that neither
/// a concurrent apply nor a repeated one can store other content under that name. One
/// transaction then replaces the head row and writes the delta, if the head row is still the one
/// that was read.
///
/// # Errors
/// The configuration is invalid, another one was accepted first, or the platform store does not
/// answer.
pub fn apply_config(
    table: &dyn Table,
    objects: &dyn ObjectStore,
    file: &str,
    config: &str,
    base: Option<u64>,
) -> Result<ApplyOutcome, ApplyError> {
    Catalogue::compile(file, config, 0, &mut Registry::default())?;
    let (head_row, head_version) = config_head(table)?;
    let current = head_row.version;
    let base = base.or_else(|| base_version(config));
    let base = base.or((current == 0).then_some(0)).ok_or(ApplyError::NoBase { current })?;
    let digest = digest(config);
    if base != current {
        // This configuration was already accepted, possibly without confirmation: not a conflict.
        if head_row.digest == digest && current == base + 1 {
            return Ok(ApplyOutcome::Accepted { version: current });
        }
        return Err(ApplyError::Conflict { base, current });
    }
    if current > 0 && head_row.digest == digest {
        return Ok(ApplyOutcome::Unchanged { version: current });
    }
    let (_, old) = current_config(table, objects)?;
    let version = current + 1;
    let object = format!("config/{version}-{digest}");
    objects.put(&object, config.as_bytes())?;
    let new_head = HeadRow { version, digest: digest.clone(), object };
    let txn = build_txn(table, &old, config, &new_head, head_version)?;
    commit(table, &txn, &new_head, base)
}

fn build_txn(
    table: &dyn Table,
    old: &str,
    new: &str,
    new_head: &HeadRow,
    head_version: u64,
) -> Result<Txn, PlatformError> {
    let delta = Delta::between(old, new);
    let content_omitted = new_head.version == 1 || delta.size() > DELTA_LIMIT;
    let row = if content_omitted {
        DeltaRow { version: new_head.version, content_omitted, ..DeltaRow::default() }
    } else {
        let (changed, removed) = (delta.changed, delta.removed);
        DeltaRow {
            version: new_head.version,
            digest: delta.digest,
            changed,
            removed,
            content_omitted,
        }
    };
    let key = delta_key(new_head.version);
    let delta_rows = table.read(std::slice::from_ref(&key))?;
    let delta_row_version = delta_rows.first().map_or(0, |row: &Row| row.version);
    let mut txn = Txn::default();
    txn.put(HEAD, head_version, Some(new_head.encode_to_vec()));
    txn.put(key, delta_row_version, Some(row.encode_to_vec()));
    Ok(txn)
}

/// Commits the transaction. If the outcome is not known, reads back which configuration is active.
fn commit(
    table: &dyn Table,
    txn: &Txn,
    new_head: &HeadRow,
    base: u64,
) -> Result<ApplyOutcome, ApplyError> {
    let version = new_head.version;
    let mut outcome = table.commit(txn);
    for _ in 0..COMMIT_RETRIES {
        match outcome {
            Outcome::Committed(_) => return Ok(ApplyOutcome::Accepted { version }),
            Outcome::Conflict => break,
            // Repeating the same transaction is safe: if it took effect, the repeat conflicts.
            Outcome::Unknown => outcome = table.commit(txn),
        }
    }
    let Ok((found, _)) = config_head(table) else { return Err(ApplyError::UnknownOutcome) };
    if found.version == version && found.digest == new_head.digest {
        return Ok(ApplyOutcome::Accepted { version });
    }
    match outcome {
        Outcome::Conflict => Err(ApplyError::Conflict { base, current: found.version }),
        _ => Err(ApplyError::UnknownOutcome),
    }
}
