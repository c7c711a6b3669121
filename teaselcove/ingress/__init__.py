"""A proxy host on a platform that offers a store but no disks.

Decisions are made in modules that take the current time as an argument:
`catalog`, `discovery`, `health`, `balance`, `queueing`, `quotas`,
`retry_window`, `members`, `freshness`, `announcements`. `requests` passes each
request through them; `backend`, `server`, `gossip` and `daemon` own sockets and
tasks, and `supervision` keeps the tasks running.
"""
