"""The bench's wire put before the decision module; holds no decisions."""
