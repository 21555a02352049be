//! marjorampick standin.

pub mod backend;
