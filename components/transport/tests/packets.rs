//! Packets decode to what was encoded, and no input makes the decoder panic or use much memory.

use model::InstanceId;
use proptest::prelude::*;
use transport::{Packet, decode, encode};

type Message = (String, Vec<u64>);

proptest! {
    #[test]
    fn packets_come_back_as_they_went(order: u64, text in ".{0,40}", numbers: Vec<u64>) {
        let packet = Packet { from: InstanceId::from("a"), order, message: (text, numbers) };
        let bytes = encode(&packet).unwrap();
        prop_assert_eq!(decode::<Message>(&bytes).unwrap(), packet);
    }

    #[test]
    fn any_bytes_decode_or_give_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Message>(&bytes);
    }

    #[test]
    fn a_cut_or_lengthened_packet_is_refused(cut in 0usize..20, extra in 1usize..9) {
        let packet = Packet { from: InstanceId::from("a"), order: 1, message: vec![1u64, 2, 3] };
        let bytes = encode(&packet).unwrap();
        let cut = cut.min(bytes.len() - 1);
        prop_assert!(decode::<Vec<u64>>(&bytes[..cut]).is_err());
        let longer = [bytes, vec![0; extra]].concat();
        prop_assert!(decode::<Vec<u64>>(&longer).is_err());
    }
}

#[test]
fn a_length_that_claims_the_world_takes_no_memory() {
    // A sequence with a declared length of 2^60 entries and none present.
    let mut bytes = vec![1, b'a', 1];
    bytes.extend([0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x10]);
    assert!(decode::<Vec<u64>>(&bytes).is_err());
}
