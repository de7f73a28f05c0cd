//! What the stand-ins' pages share: reading queries and bodies, and answering.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};

use crate::http::server::{self, Body};

/// Bytes of a body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why a page was not answered.
#[derive(Clone, Debug)]
pub struct Refused {
    status: StatusCode,
    content_type: &'static str,
    body: String,
}

impl Refused {
    /// A refusal in plain text.
    pub fn text(status: StatusCode, text: &str) -> Refused {
        Refused { status, content_type: "text/plain", body: text.to_owned() }
    }

    /// A refusal in JSON.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Refused {
        Refused {
            status,
            content_type: "application/json",
            // The refusals are plain structs, whose encoding cannot fail.
            body: serde_json::to_string(value).unwrap_or_default(),
        }
    }

    /// The answer that carries it.
    pub fn into_response(self) -> Response<Body> {
        server::answer(self.status, self.content_type, self.body)
    }
}

/// The value of `key` in a request's query, percent-decoded.
pub fn query(request: &Request<Incoming>, key: &str) -> Option<String> {
    let query = request.uri().query()?;
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        if name == key {
            return unescape(value);
        }
    }
    None
}

/// A number in a request's query, or `default`.
pub fn number(request: &Request<Incoming>, key: &str, default: u64) -> u64 {
    query(request, key).and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Reads a whole body.
pub async fn bytes(request: Request<Incoming>) -> Result<Bytes, Refused> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(Refused::text(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

/// Reads a JSON body.
pub async fn body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Refused> {
    let bytes = bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refused::text(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// An answer of status 200 in JSON.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    server::json(StatusCode::OK, value)
}

/// An answer of status 204.
pub fn empty() -> Response<Body> {
    server::answer(StatusCode::NO_CONTENT, "text/plain", "")
}

/// The answer where no page is.
pub fn not_found() -> Response<Body> {
    server::answer(StatusCode::NOT_FOUND, "text/plain", "not found")
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
