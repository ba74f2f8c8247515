//! The founders of a group, as a disk remembers them from the first start of its deployment.

use {
    super::{
        files::FileSystem,
        frame::{FrameRead, encode_frame, read_frame},
        log_store::{StorageError, files_error, write_named},
    },
    crate::ids::{Incarnation, VmId},
    serde::{Deserialize, Serialize},
    std::io,
};

/// Name of the file. It is no file of the log, so that damage to the log does not move it.
const FILE_NAME: &str = "founders";

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FoundersRecord {
    /// The disk that has recorded them. One that was damaged since has another incarnation.
    incarnation: Incarnation,
    founders: Vec<VmId>,
}

/// Reads what a disk of this incarnation has recorded; `None` if it has recorded nothing, or nothing that
/// can be read.
///
/// # Errors
/// Returns errors of the file system.
pub(super) fn read_founders(
    files: &dyn FileSystem,
    incarnation: Incarnation,
) -> Result<Option<Vec<VmId>>, StorageError> {
    let file = match files.read(FILE_NAME) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(files_error("read the founders")(error)),
    };
    let record = match read_frame(&file, 0) {
        FrameRead::Complete { payload, next } if next == file.len() => {
            postcard::from_bytes::<FoundersRecord>(payload).ok()
        }
        _ => None,
    };
    if record.is_none() {
        log::warn!(file = FILE_NAME; "the recorded founders are damaged and are not used");
    }
    let record = record.filter(|record| record.incarnation == incarnation);
    Ok(record.map(|record| record.founders))
}

/// Records the founders and syncs them.
///
/// # Errors
/// Returns errors of the file system.
pub(super) fn write_founders(
    files: &mut dyn FileSystem,
    incarnation: Incarnation,
    founders: Vec<VmId>,
) -> Result<(), StorageError> {
    let record = FoundersRecord { incarnation, founders };
    let payload = postcard::to_stdvec(&record).expect("names always encode");
    drop(write_named(files, FILE_NAME, &encode_frame(&payload))?);
    Ok(())
}
