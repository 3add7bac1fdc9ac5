//! Framing of a response: how its receiver is told where its body ends.

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Version, response};

use crate::{Body, UnframedBody};

/// The largest valid status; the HTTP client refuses those below the first.
const LAST_STATUS: u16 = 599;

/// How the end of a response's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The response states it, by a length, a last chunk, the end of its HTTP/2 stream, or because it has no body.
    Stated,
    /// The body ends with its connection, so that a sender that stops early is not told from one that is done.
    ConnectionEnd,
}

/// Why a response cannot be used: the end of its body, or what it says, is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// An interim response took the place of the final one.
    #[error("response ends with the interim status {0}")]
    Interim(StatusCode),
    /// The status is none of HTTP (RFC 9110, section 15), so that nothing in the response means what it says.
    #[error("response has the invalid status {0}")]
    InvalidStatus(StatusCode),
    /// The body has another transfer coding than chunks.
    #[error("response has an unknown transfer coding")]
    UnknownCoding,
}

impl BodyFraming {
    /// Determines the framing of the response to a request with this method.
    ///
    /// The HTTP client has parsed the response, so a length that is present is valid and not beside chunks.
    pub fn of_response(method: &Method, head: &response::Parts) -> Result<Self, FramingError> {
        if head.status.is_informational() {
            return Err(FramingError::Interim(head.status));
        }
        if head.status.as_u16() > LAST_STATUS {
            return Err(FramingError::InvalidStatus(head.status));
        }
        let has_body = *method != Method::HEAD
            && !matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if !has_body || head.version >= Version::HTTP_2 {
            return Ok(Self::Stated);
        }
        let is_stated = is_chunked(&head.headers)? || head.headers.contains_key(CONTENT_LENGTH);
        Ok(if is_stated {
            Self::Stated
        } else {
            Self::ConnectionEnd
        })
    }

    /// Frames a response to a caller accordingly, so that it states no end that was not stated here.
    ///
    /// A body without a stated end ends with the caller's connection. A stream of HTTP/2 cannot end so, and is
    /// aborted behind such a body.
    pub fn apply(self, mut res: Response<Body>) -> Response<Body> {
        if self == Self::Stated {
            return res;
        }
        // Responses of HTTP/1.1 without a length have chunks, whose last one states the end.
        *res.version_mut() = Version::HTTP_10;
        let headers = res.headers_mut();
        headers.remove(CONTENT_LENGTH);
        let close = HeaderValue::from_static("close");
        headers.insert(CONNECTION, close);
        res.map(|body| Body::Unframed(UnframedBody::new(body)))
    }
}

/// Returns whether chunks are the only transfer coding; fails if there is any other.
fn is_chunked(headers: &HeaderMap) -> Result<bool, FramingError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        (Some(_), _) => Err(FramingError::UnknownCoding),
    }
}
