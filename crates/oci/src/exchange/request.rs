//! Requests to a registry and their HTTP/1.1 encoding (RFC 9112).

use url::Url;

/// Media type of an image manifest (image specification, "Media Types").
pub(crate) const IMAGE_MANIFEST_TYPE: &str = "application/vnd.oci.image.manifest.v1+json";
const USER_AGENT: &str = "slatevalve";
/// Port of an `http` URL without an explicit one.
const DEFAULT_PORT: u16 = 80;

/// A request to a registry, before authorization and redirects are applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RegistryRequest {
    pub(crate) method: &'static str,
    pub(crate) url: Url,
    /// Headers besides `Host`, `User-Agent`, `Authorization` and `Content-Length`.
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

impl RegistryRequest {
    /// A request without headers or body.
    pub(crate) fn new(method: &'static str, url: Url) -> Self {
        RegistryRequest { method, url, headers: Vec::new(), body: Vec::new() }
    }

    pub(crate) fn get(url: Url) -> Self {
        Self::new("GET", url)
    }

    /// Encodes the request for its URL's host.
    pub(super) fn encode(&self, authorization: Option<&str>) -> Request {
        let mut head = encode_request_line(self.method, &self.url);
        if let Some(value) = authorization {
            head += &format!("Authorization: {value}\r\n");
        }
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() || matches!(self.method, "POST" | "PUT" | "PATCH") {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        Request {
            host: self.url.host_str().unwrap_or_default().into(),
            port: port(&self.url),
            bodiless: self.method == "HEAD",
            bytes,
        }
    }
}

/// The request line, `Host` and `User-Agent`.
fn encode_request_line(method: &str, url: &Url) -> String {
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    let host = url.host_str().unwrap_or_default();
    let port = url.port().map(|port| format!(":{port}")).unwrap_or_default();
    let path = url.path();
    format!("{method} {path}{query} HTTP/1.1\r\nHost: {host}{port}\r\nUser-Agent: {USER_AGENT}\r\n")
}

/// `HOST:PORT` of a URL.
pub(super) fn authority(url: &Url) -> String {
    format!("{}:{}", url.host_str().unwrap_or_default(), port(url))
}

fn port(url: &Url) -> u16 {
    url.port_or_known_default().unwrap_or(DEFAULT_PORT)
}

/// An encoded request, to be written to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name or address of the host to connect to, taken from the URL.
    pub host: String,
    /// Port to connect to; 80 where the URL names none.
    pub port: u16,
    /// Whether the response has no body, whatever length its head announces, as to HEAD.
    pub bodiless: bool,
    /// The encoded head and body.
    pub bytes: Vec<u8>,
}
