//! What the headers of a message tell.

use super::*;
use crate::node::intake::IntakeState;
use crate::node::register::Register;
use crate::store::Durability;
use hyper::header::HeaderValue;
use std::rc::Rc;

#[test]
fn time_outs_have_a_number_and_a_unit() {
    assert_eq!(span("480m"), Some(Duration::from_millis(480)));
    assert_eq!(span("1500u"), Some(Duration::from_micros(1500)));
    for bad in ["", "m", "480", "0m", "-1m", "+1m", "1.5m", "4s", "é", "99999999999999999999m", "86400001m"]
    {
        assert_eq!(span(bad), None, "{bad}");
    }
}

#[test]
fn a_message_is_counted_for_its_tenant() {
    let (inputs, _inbox) = tokio::sync::mpsc::channel(1);
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let (classes, tenants) = (names(&["notice"]), names(&["acme", "zenith"]));
    let register = Register::new(std::path::Path::new(""), Durability::Process);
    let intake_state = Rc::new(IntakeState::new(register));
    let intake = Intake { classes, tenants, intake_state, inputs, sockets: 1, bodies: 1 };
    let read = |tenants: &[&'static str]| {
        let mut headers = HeaderMap::new();
        for (name, value) in [("X-Request-ID", "m"), ("X-Timeout", "480m"), ("Envelope", "dest=7")] {
            headers.insert(name, HeaderValue::from_static(value));
        }
        for tenant in tenants {
            headers.append("X-Tenant-Id", HeaderValue::from_static(tenant));
        }
        intake
            .read_message("/notice", &headers, Bytes::new())
            .map(|read| (read.submitted.tenant, read.tenant))
    };
    assert_eq!(read(&["zenith"]), Ok(("zenith".to_owned(), 1)));
    assert_eq!(read(&["acme"]), Ok(("acme".to_owned(), 0)));
    assert_eq!(read(&["unheard-of"]), Ok((String::new(), 0)));
    assert_eq!(read(&[]), Ok((String::new(), 0)));
    assert!(read(&["acme", "zenith"]).is_err(), "two that name different tenants");
}

#[test]
fn envelopes_name_a_destination() {
    assert_eq!(envelope("dest=7"), Some(7));
    assert_eq!(envelope("a=1, dest=12"), Some(12));
    for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "test=7", "dest=99999999999999999999999"] {
        assert_eq!(envelope(bad), None, "{bad}");
    }
}
