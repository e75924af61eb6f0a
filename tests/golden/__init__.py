"""Golden files: the external behaviour of vetchford, recorded before its identifiers were renamed."""
