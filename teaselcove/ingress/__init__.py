"""A host that serves callers on a platform with a store and no disks.

Decisions are in pure modules that take the present time: `catalog`,
`discovery`, `health`, `balance`, `queueing`, `quotas`, `retry_window`,
`members`, `freshness`. `requests` takes a call through them; `backend`,
`server`, `sync`, `gossip` and `daemon` own sockets and tasks.
"""
