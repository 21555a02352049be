//! marjorampick standin.
