"""Names of HTTP headers and paths on the users' platform."""

# Sent by callers and forwarded unchanged.
ATTEMPT_ID = 'attempt-id'
# Milliseconds until the sender's deadline.
DEADLINE_MS = 'deadline-ms'
AUTHORIZATION = 'authorization'
# Organisation that owns the caller's key; set by the proxy only.
ORGANISATION = 'tenant'
# Id of the backend server that should run the request.
EXPECTED_SERVER = 'expect-instance'
# Set by backend servers on responses.
SIGNATURE = 'response-signature'
NOT_EXECUTED = 'not-executed'
ANSWERING_SERVER = 'instance-id'

READY_PATH = '/readyz'
RESOLVE_PATH = '/resolve'
METRICS_PATH = '/metrics'
# Query parameter of a resolve request: availability zone of the caller.
CALLER_ZONE = 'zone'
