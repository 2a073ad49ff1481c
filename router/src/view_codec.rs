//! Views as hosts exchange them: compressed JSON.

use std::io::{self, Read, Write};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use hyper::body::Bytes;

use crate::view::ViewDelta;

/// Largest response that is read, bytes; applies both before and after decompression.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Size from which a response is decompressed on a thread of its own, bytes.
const LARGE_RESPONSE_BYTES: usize = 16 << 10;

/// Compresses a delta on a thread of its own, since a large one would hold callers' events up.
///
/// # Errors
///
/// Returns an error if the delta cannot be written.
pub(crate) async fn compress(delta: ViewDelta) -> io::Result<Bytes> {
    let compressing = tokio::task::spawn_blocking(move || compress_here(&delta));
    compressing.await.map_err(io::Error::other)?
}

/// Decompresses a response, a large one on a thread of its own.
///
/// # Errors
///
/// Returns an error if the response cannot be read.
pub(crate) async fn decompress(body: Bytes) -> io::Result<ViewDelta> {
    if body.len() < LARGE_RESPONSE_BYTES {
        return decompress_here(&body);
    }
    let decompressing = tokio::task::spawn_blocking(move || decompress_here(&body));
    decompressing.await.map_err(io::Error::other)?
}

fn compress_here(delta: &ViewDelta) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(delta)?)?;
    Ok(encoder.finish()?.into())
}

fn decompress_here(body: &[u8]) -> io::Result<ViewDelta> {
    let mut json = Vec::new();
    ZlibDecoder::new(body)
        .take(MAX_RESPONSE_BYTES as u64)
        .read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
