//! Hop-by-hop headers, which apply to a single connection only.

use http::{HeaderMap, HeaderName, header};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers before a message is forwarded.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    let standard = [
        header::CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        // The HTTP library sets it from the forwarded body.
        header::CONTENT_LENGTH,
    ];
    for name in standard {
        headers.remove(name);
    }
}
