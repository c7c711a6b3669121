"""Names of HTTP headers and paths on the users' platform."""

# Sent by callers and forwarded as they are.
ATTEMPT_ID = 'attempt-id'
# Milliseconds that the sender still waits.
DEADLINE_MS = 'deadline-ms'
AUTHORIZATION = 'authorization'
# The organisation that holds the caller's key; set by the proxy only.
ORGANISATION = 'tenant'
# The id of the backend server that is to run the request.
EXPECTED_SERVER = 'expect-instance'
# On answers of backend servers.
SIGNATURE = 'response-signature'
NOT_EXECUTED = 'not-executed'
ANSWERING_SERVER = 'instance-id'

READY_PATH = '/readyz'
RESOLVE_PATH = '/resolve'
METRICS_PATH = '/metrics'
# Query parameter of a resolve call: the availability zone of the caller.
CALLER_ZONE = 'zone'
