//! Messages of the etcd v3 HTTP/JSON gateway, limited to the fields in use: keys and values are in
//! base64, 64-bit numbers are strings, fields with their default value are omitted.

use crate::kv::{KeyValueEntry, KeyValueError, LeaseId, Revision};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialised as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Serialize for Base64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        STANDARD.decode(text.as_ref()).map(|bytes| Self(bytes.into())).map_err(D::Error::custom)
    }
}

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

/// A 64-bit number that is serialised as a string; plain numbers are accepted too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Int64(pub i64);

impl Int64 {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }

    /// The number as a revision; a negative one counts as zero.
    pub fn revision(self) -> Revision {
        Revision(u64::try_from(self.0).unwrap_or(0))
    }
}

impl From<Revision> for Int64 {
    fn from(revision: Revision) -> Self {
        Self(i64::try_from(revision.0).unwrap_or(i64::MAX))
    }
}

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// Header of every answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision when it answered.
    #[serde(default)]
    pub revision: Int64,
}

/// One stored key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WireEntry {
    /// The key, which must be UTF-8.
    pub key: Base64,
    /// Revision of the key's creation.
    pub create_revision: Int64,
    /// Revision of the last write.
    pub mod_revision: Int64,
    /// The value.
    pub value: Base64,
    /// The lease, zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

impl From<KeyValueEntry> for WireEntry {
    fn from(entry: KeyValueEntry) -> Self {
        Self {
            key: entry.key.as_str().into(),
            create_revision: entry.create_revision.into(),
            mod_revision: entry.mod_revision.into(),
            value: Base64(entry.value),
            lease: Int64(entry.lease.map_or(0, |lease| lease.0)),
        }
    }
}

impl TryFrom<WireEntry> for KeyValueEntry {
    type Error = KeyValueError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            key: key_text(&wire.key)?,
            value: wire.value.0,
            create_revision: wire.create_revision.revision(),
            mod_revision: wire.mod_revision.revision(),
            lease: (!wire.lease.is_zero()).then_some(LeaseId(wire.lease.0)),
        })
    }
}

/// Decodes a key, which must be UTF-8.
pub fn key_text(key: &Base64) -> Result<String, KeyValueError> {
    std::str::from_utf8(&key.0)
        .map(str::to_owned)
        .map_err(|_| KeyValueError::Malformed { what: "key" })
}

/// `POST /v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The key after the last; absent for `key` alone.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

impl RangeRequest {
    /// The range of all keys that start with `prefix`.
    ///
    /// ```
    /// use flamingowheel_backing::client::wire::RangeRequest;
    /// assert_eq!(&RangeRequest::prefix("a/").range_end.unwrap().0[..], b"a0");
    /// ```
    pub fn prefix(prefix: &str) -> Self {
        // In the protocol a zero byte in both fields selects all keys.
        let Some((last, head)) = prefix.as_bytes().split_last() else {
            return Self { key: "\0".into(), range_end: Some("\0".into()) };
        };
        // UTF-8 never contains the byte 255, so the sum can't overflow.
        let end = [head, &[last + 1]].concat();
        Self { key: prefix.into(), range_end: Some(Base64(end.into())) }
    }
}

/// Answer to `POST /v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Has the store's revision at the read.
    pub header: Header,
    /// The entries, sorted by key.
    pub kvs: Vec<WireEntry>,
}

/// A write within a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key to create or overwrite.
    pub key: Base64,
    /// Value to store.
    pub value: Base64,
    /// The lease, zero for none.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// One step of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Writes a key.
    #[serde(rename = "requestPut", alias = "request_put", skip_serializing_if = "Option::is_none")]
    pub put: Option<PutRequest>,
    /// Reads one key.
    #[serde(
        rename = "requestRange",
        alias = "request_range",
        skip_serializing_if = "Option::is_none"
    )]
    pub range: Option<RangeRequest>,
    /// Deletes one key.
    #[serde(
        rename = "requestDeleteRange",
        alias = "request_delete_range",
        skip_serializing_if = "Option::is_none"
    )]
    pub delete: Option<RangeRequest>,
}

/// The revision of a key that is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The revision of the key's creation; zero if it does not exist.
    #[default]
    Create,
    /// The revision of the last write.
    Mod,
}

/// How a revision is compared with the expected one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both sides are the same.
    #[default]
    Equal,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WireCompare {
    /// How the revision is compared with the expected one.
    pub result: CompareResult,
    /// Which revision of the key is compared.
    pub target: CompareTarget,
    /// Key whose revision is compared; it may be absent.
    pub key: Base64,
    /// Expected with [`CompareTarget::Create`].
    #[serde(
        rename = "createRevision",
        alias = "create_revision",
        skip_serializing_if = "Option::is_none"
    )]
    pub create_revision: Option<Int64>,
    /// Expected with [`CompareTarget::Mod`].
    #[serde(
        rename = "modRevision",
        alias = "mod_revision",
        skip_serializing_if = "Option::is_none"
    )]
    pub mod_revision: Option<Int64>,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons, all of which must hold for `success` to run.
    pub compare: Vec<WireCompare>,
    /// Run if all comparisons hold.
    pub success: Vec<RequestOp>,
    /// Run if at least one comparison does not hold.
    pub failure: Vec<RequestOp>,
}

/// Answer to one step; only the answers to reads are used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Answer to a read.
    #[serde(alias = "responseRange", skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer to `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Has the store's revision after the transaction.
    pub header: Header,
    /// Whether all comparisons held, so that `success` ran.
    pub succeeded: bool,
    /// One element for each step that ran.
    pub responses: Vec<ResponseOp>,
}

/// `POST /v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`, and their answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// The lease; zero in a grant lets the service choose.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds; zero in an answer means that the lease no longer exists.
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// An element of a streamed answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The element, under the name that the gateway gives it.
    pub result: T,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to create.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The key range and start of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Base64,
    /// The key after the last.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    /// The first revision whose events are sent.
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
    /// Whether to send answers without events periodically while nothing changes.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// The kind of a watch event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written; omitted on the wire.
    #[default]
    Put,
    /// The key was deleted or its lease expired.
    Delete,
}

/// A watch event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WireEvent {
    /// Whether the key was written or deleted.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key with its new value; for a deletion only the key and its revision.
    pub kv: WireEntry,
}

/// An answer on a watch. One without events reports progress.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Has the store's revision when the answer was sent.
    pub header: Header,
    /// Set in the first answer, which confirms the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// The service has ended the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// With `canceled`: the oldest revision that is not compacted, if that is the cause.
    #[serde(alias = "compactRevision", skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// Events since the last answer; empty in a progress report.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WireEvent>,
}

/// Body of an answer that reports an error.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// The gRPC status code.
    pub code: i32,
    /// Human-readable description.
    pub message: String,
}

/// gRPC status code `NOT_FOUND`, sent for an unknown lease.
pub const CODE_NOT_FOUND: i32 = 5;
/// gRPC status code `RESOURCE_EXHAUSTED`, sent when a rate limit is exceeded.
pub const CODE_RESOURCE_EXHAUSTED: i32 = 8;
