//! Errors of encoding and decoding messages, and of reading them from a connection.

use std::io;

/// Why a value has no encoding.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The `Serialize` implementation of the value failed, or MessagePack cannot represent it.
    #[error("the value has no MessagePack encoding")]
    Format(#[from] rmp_serde::encode::Error),
    /// The encoded value could not be compressed.
    #[error("the encoded value can't be compressed")]
    Deflate(#[source] io::Error),
}

/// Why received bytes are not a message of the expected type.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not MessagePack, or not of the expected type.
    ///
    /// The text contains the cause, because logs do not print sources. For a variant that this build does not know, the cause
    /// has its name.
    #[error("the bytes are no message of the expected type: {0}")]
    Format(#[from] rmp_serde::decode::Error),
    /// The compressed bytes are truncated or corrupt.
    #[error("the bytes can't be inflated: {0}")]
    Inflate(#[source] io::Error),
    /// The bytes inflate to more than the maximum size.
    #[error("the bytes inflate to more than any message has")]
    TooLarge,
}

/// Why the frames on a connection are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first byte of a frame is not a known kind.
    #[error("a frame is of the unknown kind {0}")]
    UnknownKind(u8),
    /// The chunks of a message exceed the maximum size.
    #[error("a message is longer than any that is sent")]
    MessageTooLong,
}
