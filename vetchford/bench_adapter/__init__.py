"""The simulator's wire in front of the admission controller; holds no decisions."""
