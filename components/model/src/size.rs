//! Amounts of processor time, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The resources that a task takes or a worker has. All amounts are integers, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Size {
    /// The processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// The memory in megabytes.
    pub memory_mb: u64,
    /// The number of whole accelerators.
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
    /// All dimensions, in the order of the fields of [`Size`].
    pub const ALL: [Dimension; 3] = [Dimension::Cpu, Dimension::Memory, Dimension::Accelerators];
}

impl Size {
    /// Zero in every dimension.
    pub const ZERO: Size = Size { cpu_milli: 0, memory_mb: 0, accelerators: 0 };

    /// Creates a size from thousandths of a core, megabytes and accelerators.
    pub fn new(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Size {
        Size { cpu_milli, memory_mb, accelerators }
    }

    /// Returns the amount in one dimension.
    pub fn get(&self, dimension: Dimension) -> u64 {
        match dimension {
            Dimension::Cpu => self.cpu_milli,
            Dimension::Memory => self.memory_mb,
            Dimension::Accelerators => self.accelerators,
        }
    }

    /// Returns whether `self` fits into `capacity` in every dimension.
    pub fn fits(&self, capacity: &Size) -> bool {
        Dimension::ALL.iter().all(|&d| self.get(d) <= capacity.get(d))
    }

    /// Returns how many times `self` fits into `capacity`, as if that were a single worker; [`u64::MAX`] if `self` is zero.
    pub fn copies_in(&self, capacity: &Size) -> u64 {
        let per = |needed: u64, available: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        per(self.cpu_milli, capacity.cpu_milli)
            .min(per(self.memory_mb, capacity.memory_mb))
            .min(per(self.accelerators, capacity.accelerators))
    }

    /// Adds `other`, saturating at the maximum.
    pub fn plus(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`, saturating at zero.
    pub fn minus(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the minimum of both sizes in each dimension.
    pub fn elementwise_min(&self, other: &Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the size multiplied by `n`, saturating at the maximum.
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
