"""Golden files: what others see of vetchford, recorded from the code before the renames."""
