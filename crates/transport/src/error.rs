//! Why messages can't be encoded, decoded or read from a connection.

use std::io;

/// Why a value has no encoding.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The value's own `Serialize` failed, or MessagePack has no form for it.
    #[error("the value has no MessagePack encoding")]
    Format(#[from] rmp_serde::encode::Error),
    /// The encoded value could not be compressed.
    #[error("the encoded value can't be compressed")]
    Deflate(#[source] io::Error),
}

/// Why received bytes are not a message of the expected type.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// They are no MessagePack, or of another type.
    ///
    /// The text has the cause, because logs print no sources: it names the variant that an older build does not know.
    #[error("the bytes are no message of the expected type: {0}")]
    Format(#[from] rmp_serde::decode::Error),
    /// They were compressed, and are cut short or corrupt.
    #[error("the bytes can't be inflated: {0}")]
    Inflate(#[source] io::Error),
    /// They would inflate to more than any message has.
    #[error("the bytes inflate to more than any message has")]
    TooLarge,
}

/// Why the frames on a connection do not make up messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first byte of a frame is none that we write.
    #[error("a frame is of the unknown kind {0}")]
    UnknownKind(u8),
    /// The chunks of a message add up to more than is accepted.
    #[error("a message is longer than any that is sent")]
    MessageTooLong,
}
