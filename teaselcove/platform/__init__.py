"""Adapters between the project's types and the platforms it runs on.

The modules hold names, formats and calls; decisions are made elsewhere.
`port` serves the project's own log and lists; the others serve deployments
on the users' platform.
"""
