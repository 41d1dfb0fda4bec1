//! HTTP clients for the platform's services and the backend server.

pub mod backend;
pub mod etcd;
pub mod failover;
pub mod framing;
pub mod http;
pub mod informational;
pub mod liveness;
pub mod orders;
pub mod split;
pub mod status;
pub mod vm;
pub mod weights;
pub mod wire;

pub use backend::{BackendKind, HttpBackend};
pub use etcd::EtcdClient;
pub use failover::Failover;
pub use http::{HttpClient, HttpError, HttpLimits};
pub use orders::HttpOrders;
pub use vm::HttpVmList;
pub use weights::HttpWeightStore;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The set to percent-encode in a path segment: all but the unreserved characters.
const PATH_SEGMENT: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

fn encode_segment(text: &str) -> String {
    utf8_percent_encode(text, PATH_SEGMENT).to_string()
}
