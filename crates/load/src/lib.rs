//! marjorampick load.
