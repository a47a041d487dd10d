//! Reads a message from a request's path, headers and body.

use super::Intake;
use crate::node::journal::Message;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::ToStrError;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MAX_ID: usize = 256;
/// No class has a time-out near this.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);
/// Two that name different messages: one reader would take the first and another the last.
const ONCE: [&str; 6] =
    ["X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Envelope", "Idempotency-Key"];

/// A message as its client has handed it in.
pub(super) struct ReadMessage {
    pub(super) submitted: Message,
    /// Places in the lists of classes and of tenants.
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) time_left: Duration,
}

impl Intake {
    /// Reads a message from its head. An error is told to the client.
    pub(super) fn read_message(
        &self,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<ReadMessage, &'static str> {
        if ONCE.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err("a header that may come once comes twice\n");
        }
        let id = request_id(headers)?;
        let class = self.class(path, headers)?;
        let time_left = time_left(headers)?;
        let destination = destination(headers)?;
        let key = idempotency_key(headers)?;
        let tenant = self.tenant(headers);
        let submitted = Message {
            id: id.to_owned(),
            class: self.classes[class].clone(),
            tenant: tenant.map_or(String::new(), |t| self.tenants[t].clone()),
            destination,
            key,
            until: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + time_left,
            body,
        };
        Ok(ReadMessage { submitted, class, tenant: tenant.unwrap_or_default(), time_left })
    }

    /// The class that the path names; a header, if there is one, must name the same.
    fn class(&self, path: &str, headers: &HeaderMap) -> Result<usize, &'static str> {
        let place = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let name = match head(headers, "X-Priority-Class") {
            Some(name) => name.map_err(|_| "X-Priority-Class is no text\n")?,
            None => place,
        };
        let class = self.classes.iter().position(|c| c == name).ok_or("no such class\n")?;
        if place != name {
            return Err("the path names another class\n");
        }
        Ok(class)
    }

    /// Victims are chosen by tenant. One that the settings do not name counts with the first.
    fn tenant(&self, headers: &HeaderMap) -> Option<usize> {
        let name = head(headers, "X-Tenant-Id").and_then(Result::ok)?;
        self.tenants.iter().position(|t| t == name)
    }
}

/// A header's text without the space around it; an error if it is no text.
fn head<'a>(headers: &'a HeaderMap, name: &str) -> Option<Result<&'a str, ToStrError>> {
    headers.get(name).map(|value| value.to_str().map(str::trim))
}

fn request_id(headers: &HeaderMap) -> Result<&str, &'static str> {
    let id =
        head(headers, "X-Request-ID").ok_or("no X-Request-ID\n")?.map_err(|_| "X-Request-ID is no text\n")?;
    if id.is_empty() || id.len() > MAX_ID {
        return Err("X-Request-ID is empty or too long\n");
    }
    Ok(id)
}

fn time_left(headers: &HeaderMap) -> Result<Duration, &'static str> {
    let text = head(headers, "X-Timeout").ok_or("no X-Timeout\n")?.map_err(|_| "X-Timeout is no text\n")?;
    span(text).ok_or("X-Timeout cannot be read\n")
}

fn destination(headers: &HeaderMap) -> Result<u64, &'static str> {
    let text = head(headers, "Envelope").ok_or("no Envelope\n")?.map_err(|_| "Envelope is no text\n")?;
    envelope(text).ok_or("Envelope names no destination\n")
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, &'static str> {
    match head(headers, "Idempotency-Key") {
        Some(Ok(key)) if !key.is_empty() && key.len() <= MAX_ID => Ok(Some(key.to_owned())),
        Some(_) => Err("Idempotency-Key cannot be read\n"),
        None => Ok(None),
    }
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = number.parse().ok()?;
    let span = match unit {
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        _ => return None,
    };
    (!span.is_zero() && span <= MAX_TIMEOUT).then_some(span)
}

/// `dest=7`, perhaps among other fields.
fn envelope(text: &str) -> Option<u64> {
    let fields = text.split([',', ';', '&', ' ']).filter_map(|f| f.trim().split_once('='));
    let mut dests = fields.filter(|(name, _)| *name == "dest").map(|(_, value)| value);
    dests.next()?.parse().ok()
}

#[cfg(test)]
#[path = "message_test.rs"]
mod tests;
