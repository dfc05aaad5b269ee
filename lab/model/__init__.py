"""Model checker that plays histories of entries that run batch jobs.

The histories run in virtual time. The entries run the production code for
jobs, for the store client, and for the alternative routes to the store.
Everything around them is a model: a network that loses, delays, repeats and
reorders calls, a store, engines, and a trainer.
"""
