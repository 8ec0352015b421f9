"""The platform's header names and paths, in lower case where it matters."""

# The platform says "attempt": each try of a client has its own id.
ATTEMPT_ID = b"x-tamarackgap-attempt-id"
TIMEOUT_MS = b"x-tamarackgap-timeout-ms"
# Marks a body as the whole body of a server's answer; nobody checks it here.
RESPONSE_SIGNATURE = b"x-tamarackgap-response-signature"
# The request is for this instance only; any other server answers 421.
TARGET_INSTANCE = b"x-tamarackgap-target-instance"
NOT_EXECUTED = b"x-tamarackgap-not-executed"
# Running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"x-tamarackgap-server-load"
RETRY_AFTER = b"retry-after"
# Service of the machine where the request began, not of its client.
CALLER_SERVICE = b"x-tamarackgap-caller-service"
# A whole number from 0 to 65535: a position rather than a key.
SHARD_KEY = b"x-tamarackgap-shard-key"
HANDOVER = b"x-tamarackgap-handover"

INSTANCES = "/-/instances/"
HEARTBEAT = "/heartbeat"
DEREGISTER = "/deregister"
GRANT = "/-/grant"
RELEASE = "/-/release"
ROWS_TX = "/-/rows-tx"
ROWS_GET = "/-/rows-get"
ROWS_FEED = "/-/rows-feed"

# Table and key under which the operator keeps the newest configuration.
OPERATOR_TABLE = "op"
OPERATOR_KEY = "config"
# Table of this system's own rows.
OWN_TABLE = "tamarackgap"
