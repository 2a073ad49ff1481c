//! Sizes of datagrams with prefills.

use crate::gossip_event::{MAX_PREFILLS_BYTES, MAX_SHARED_PARTS, Prefill, datagram_pieces};

fn prefill(parts: usize) -> Prefill {
    Prefill {
        server: u64::MAX,
        ms: u32::MAX,
        size: usize::MAX,
        shared: vec![u64::MAX; parts],
        is_to_relay: true,
    }
}

/// Guards against datagrams that are sent in fragments, or not at all above 64 KB: 40 prompts with
/// many parts at once had 50 KB.
#[test]
fn datagrams_of_prefills_stay_below_the_size_of_a_packet() {
    let cases = [
        vec![],
        vec![prefill(0)],
        vec![prefill(MAX_SHARED_PARTS)],
        vec![prefill(2); 100],
        (0..=MAX_SHARED_PARTS).map(prefill).collect(),
    ];
    for prefills in cases {
        let pieces: Vec<&[Prefill]> = datagram_pieces(&prefills).collect();
        let told: usize = pieces.iter().map(|piece| piece.len()).sum();
        assert_eq!(told, prefills.len());
        for piece in pieces {
            let text = serde_json::json!({ "Readings": piece }).to_string();
            assert!(text.len() <= MAX_PREFILLS_BYTES, "{} bytes", text.len());
        }
    }
}
