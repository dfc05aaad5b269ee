"""Models of the systems around bergamotdoor, and tools that use them.

The models of the store, engines, plain services, trainers and callers
implement the other side of the platform's protocol, so that a whole
deployment runs on one machine. The tests, the demo and the fault soak use
them.
"""
