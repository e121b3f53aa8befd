//! The number of an upstream's slots that one instance may use.

/// How the instances of a zone divide an upstream's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSharing {
    /// Each instance permanently has an equal share.
    Fixed,
    /// Each instance permanently has half of its equal share. The zone's allocator lends the rest
    /// for short times to the instances that need it.
    Borrowed,
}

/// Returns the number of slots that an instance permanently has, when a zone has at most
/// `instances`.
pub fn base_share(sharing: SlotSharing, slots: u32, instances: u32) -> u32 {
    let equal = slots / instances.max(1);
    match sharing {
        SlotSharing::Fixed => equal,
        SlotSharing::Borrowed => (equal / 2).max(u32::from(equal > 0)),
    }
}

/// Returns the number of slots that remain for lending.
pub fn lendable_slots(sharing: SlotSharing, slots: u32, instances: u32) -> u32 {
    slots - base_share(sharing, slots, instances) * instances.min(slots)
}
