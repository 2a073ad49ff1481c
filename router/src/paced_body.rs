//! Response bodies that are sent in pieces, at the pace of a host's own link.

use std::{io, sync::Arc};

use clementinearch_policy::link_pacer::{PIECE_BYTES, SMALL_ANSWER_BYTES, Turn};
use futures::Stream;
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};

use crate::{
    host_state::HostState,
    response_body::{ResponseBody, full_body},
};

/// Wraps bytes as a body that is sent in its `turn`.
pub(crate) fn paced_body(state: Arc<HostState>, bytes: Bytes, turn: Turn) -> ResponseBody {
    if bytes.len() <= SMALL_ANSWER_BYTES {
        return full_body(bytes);
    }
    ResponseBody::new(StreamBody::new(paced_frames(state, bytes, turn)))
}

fn paced_frames(
    state: Arc<HostState>,
    bytes: Bytes,
    turn: Turn,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let pieces = bytes.len().div_ceil(PIECE_BYTES);
    let begin = (bytes, turn, 0);
    futures::stream::unfold(begin, move |(mut rest, turn, piece)| {
        let state = state.clone();
        async move {
            if piece == pieces {
                return None;
            }
            tokio::time::sleep(turn.due(piece).since(state.now())).await;
            // Pieces that were held up do not follow each other at once.
            let turn = turn.delayed(piece, state.now());
            let next = rest.split_to(PIECE_BYTES.min(rest.len()));
            Some((Ok(Frame::data(next)), (rest, turn, piece + 1)))
        }
    })
}
