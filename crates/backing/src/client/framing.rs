//! How an answer states the end of its body.

use flamingowheel_policy::answers::Framing;
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, Response};
use http_body::Body;

/// The framing of an answer whose body has not been read yet.
///
/// ```
/// use flamingowheel_backing::client::framing::framing_of;
/// use flamingowheel_policy::answers::Framing;
/// use http_body_util::Full;
/// let sized = http::Response::new(Full::new(bytes::Bytes::from_static(b"body")));
/// assert_eq!(framing_of(&sized), Framing::Length);
/// ```
pub fn framing_of<B>(response: &Response<B>) -> Framing
where
    B: Body,
{
    if response.body().size_hint().exact().is_some() {
        Framing::Length
    } else if is_chunked(response.headers()) {
        Framing::Chunks
    } else {
        Framing::Connection
    }
}

/// Whether the last transfer encoding is `chunked`. With another one in the last place, the body ends
/// with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last_encoding = last_line
        .and_then(|line| line.to_str().ok())
        .and_then(|line| line.rsplit(',').next())
        .unwrap_or("");
    last_encoding.trim().eq_ignore_ascii_case("chunked")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn is_chunked_last_encoding_decides() {
        let cases: [(&[&str], bool); 6] = [
            (&["chunked"], true),
            (&["gzip, Chunked"], true),
            (&["gzip", "chunked"], true),
            (&["chunked, gzip"], false),
            (&["chunked", "identity"], false),
            (&[], false),
        ];
        for (lines, expected) in cases {
            let mut headers = HeaderMap::new();
            for line in lines {
                headers.append(TRANSFER_ENCODING, line.parse().unwrap());
            }
            assert_eq!(is_chunked(&headers), expected, "{lines:?}");
        }
    }
}
