//! How many of an upstream's slots one instance may use.

/// How the instances of a zone divide an upstream's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSharing {
    /// Each has an equal part for ever.
    Fixed,
    /// Each has half of its equal part for ever; the rest is lent for short times to those who
    /// need it, by the zone's allocator.
    Borrowed,
}

/// Gives the part of `slots` that an instance has for ever, when a zone has at most `instances`.
pub fn base_share(sharing: SlotSharing, slots: u32, instances: u32) -> u32 {
    let equal = slots / instances.max(1);
    match sharing {
        SlotSharing::Fixed => equal,
        SlotSharing::Borrowed => (equal / 2).max(u32::from(equal > 0)),
    }
}

/// Gives what is left over to lend.
pub fn lendable_slots(sharing: SlotSharing, slots: u32, instances: u32) -> u32 {
    slots - base_share(sharing, slots, instances) * instances.min(slots)
}
