"""Callers that do not behave, against processes with lowered limits.

Each test starts the system's own processes on loopback and checks what does not depend
on the speed of the machine: the process lives, its peak memory and open descriptors
stay below its settings, and an ordinary request is answered. The tests run one at a
time, apart from other tests (`make test-alone`).
"""
