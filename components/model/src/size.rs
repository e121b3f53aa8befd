//! Amounts of processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a task takes or a worker has. Plain integers, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

/// One dimension of a [`Size`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dimension {
    /// Processor time.
    Cpu,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl Dimension {
    /// Every dimension, in the order of [`Size`]'s fields.
    pub const ALL: [Dimension; 3] = [Dimension::Cpu, Dimension::Memory, Dimension::Accelerators];
}

impl Size {
    /// Nothing at all.
    pub const ZERO: Size = Size { cpu_milli: 0, memory_mb: 0, accelerators: 0 };

    /// Makes a size from thousandths of a core, megabytes and accelerators.
    pub fn new(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Size {
        Size { cpu_milli, memory_mb, accelerators }
    }

    /// Gives the amount in one dimension.
    pub fn get(&self, dimension: Dimension) -> u64 {
        match dimension {
            Dimension::Cpu => self.cpu_milli,
            Dimension::Memory => self.memory_mb,
            Dimension::Accelerators => self.accelerators,
        }
    }

    /// Tells whether `self` fits into `room` in every dimension.
    pub fn fits(&self, room: &Size) -> bool {
        Dimension::ALL.iter().all(|&d| self.get(d) <= room.get(d))
    }

    /// Gives how many times `self` fits into `room`, if it were one worker; for nothing at all the largest number.
    pub fn copies_in(&self, room: &Size) -> u64 {
        let per = |need: u64, has: u64| has.checked_div(need).unwrap_or(u64::MAX);
        per(self.cpu_milli, room.cpu_milli)
            .min(per(self.memory_mb, room.memory_mb))
            .min(per(self.accelerators, room.accelerators))
    }

    /// Adds `other`, stopping at the largest number.
    pub fn plus(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Takes `other` away, stopping at zero.
    pub fn minus(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Gives the lesser of both in each dimension.
    pub fn elementwise_min(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Gives `n` times this size.
    pub fn times(&self, n: u64) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cores, milli) = (self.cpu_milli / 1000, self.cpu_milli % 1000);
        write!(f, "{cores}.{milli:03} cores, {} MB", self.memory_mb)?;
        if self.accelerators > 0 {
            write!(f, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
