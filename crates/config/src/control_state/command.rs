//! Changes that operators request.

use super::DecodeError;
use crate::configuration::version_of;
use deku::{DekuContainerRead, DekuContainerWrite, DekuRead, DekuWrite};
use sha2::{Digest, Sha256};

/// How the body describes the new configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Method {
    /// The body is the complete configuration.
    #[deku(id = 1)]
    Put,
    /// The body is a patch of the current configuration.
    #[deku(id = 2)]
    Patch,
}

/// A requested change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// How the body describes the change.
    pub method: Method,
    /// The version of the configuration on which the change is based.
    pub if_match: Option<u64>,
    /// Body of the call, as it was sent.
    pub body: Vec<u8>,
}

/// An encoded command without the body, which comes last.
#[derive(DekuRead, DekuWrite)]
struct CommandHead {
    method: Method,
    has_if_match: u8,
    #[deku(endian = "little")]
    if_match: u64,
}

/// The first 128 bits of the SHA-256 of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub(super) struct RequestDigest(u128);

impl Command {
    /// The command as bytes.
    ///
    /// # Panics
    /// Never: a head has no field that cannot be written.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.head().to_bytes().expect("a head has no field that cannot be written");
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads a command.
    ///
    /// # Errors
    /// The bytes are not an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let ((body, _), head) = CommandHead::from_bytes((bytes, 0)).map_err(DecodeError::Command)?;
        let if_match = (head.has_if_match != 0).then_some(head.if_match);
        Ok(Command { method: head.method, if_match, body: body.to_vec() })
    }

    fn head(&self) -> CommandHead {
        CommandHead {
            method: self.method,
            has_if_match: self.if_match.is_some().into(),
            if_match: self.if_match.unwrap_or_default(),
        }
    }

    /// The version that this change would create, if its body can be parsed that far.
    pub(super) fn version(&self) -> Option<u64> {
        version_of(&self.body)
    }

    /// Digest that identifies this change.
    ///
    /// For `PUT` the digest does not depend on the version on which the change was based.
    pub(super) fn digest(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        match self.method {
            Method::Put => hasher.update(b"PUT\0"),
            Method::Patch => {
                hasher.update(b"PATCH\0");
                hasher.update(self.if_match.unwrap_or_default().to_le_bytes());
            }
        }
        hasher.update(&self.body);
        let mut half = [0; 16];
        half.copy_from_slice(&hasher.finalize()[..16]);
        RequestDigest(u128::from_le_bytes(half))
    }
}
