"""What a server keeps in memory: its tasks by index, fingerprints and the results kept for their repeats."""
