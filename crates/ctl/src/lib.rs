//! marjorampick ctl.
