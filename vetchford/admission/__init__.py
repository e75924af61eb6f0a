"""Admission decisions of one server, without I/O."""
