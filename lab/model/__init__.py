"""Explores histories of entries that run batch jobs, in virtual time.

Everything that decides is the product's own: what an entry has for jobs, its
client of the store, its ways round. Around it stand models: a network whose
calls are lost, late, repeated and reordered, a store, engines, and a trainer.
"""
