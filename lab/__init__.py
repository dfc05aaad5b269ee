"""Models of what stands around bergamotdoor, and tools that use them.

Store, engines, plain services, trainers and callers that speak the
platform's protocol from the other side, so that a whole deployment runs on
one machine: in the tests, in the demonstration and under the fault soak.
"""
