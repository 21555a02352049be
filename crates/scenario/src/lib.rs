//! marjorampick scenario.
