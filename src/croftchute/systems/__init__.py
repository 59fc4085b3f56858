"""Decision logic without I/O: takes inputs, updates tables and returns commands to execute."""
