"""Many instances on a machine, changed together: `decide.py` decides, `agent.py` owns the processes."""
