"""Names of the platform's headers, paths and tables.

Header names are in lower case, as in the requests and answers they are looked
up in.
"""

# Carries the request id: each attempt of a client is a request of its own.
ATTEMPT_ID = b"x-tamarackgap-attempt-id"
TIMEOUT_MS = b"x-tamarackgap-timeout-ms"
# Signs the whole body of a server's answer. Only its presence matters here; the
# signature is not verified.
RESPONSE_SIGNATURE = b"x-tamarackgap-response-signature"
# Names the only server instance that may run the request; others answer 421.
TARGET_INSTANCE = b"x-tamarackgap-target-instance"
NOT_EXECUTED = b"x-tamarackgap-not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"x-tamarackgap-server-load"
RETRY_AFTER = b"retry-after"
# Service of the machine that received the request, not of its client.
CALLER_SERVICE = b"x-tamarackgap-caller-service"
# An integer from 0 to 65535: the position of a key, not the key itself.
SHARD_KEY = b"x-tamarackgap-shard-key"
# Text from the server that released a range of keys for their next holder.
HANDOVER = b"x-tamarackgap-handover"

INSTANCES = "/-/instances/"
HEARTBEAT = "/heartbeat"
DEREGISTER = "/deregister"
GRANT = "/-/grant"
RELEASE = "/-/release"
ROWS_TX = "/-/rows-tx"
ROWS_GET = "/-/rows-get"
ROWS_FEED = "/-/rows-feed"

# Table and key of the operator's newest configuration.
OPERATOR_TABLE = "op"
OPERATOR_KEY = "config"
# Keys in that table that begin so name zones whose servers are to get nothing.
EVACUATE_PREFIX = "evacuate/"
# Table of this system's own rows.
OWN_TABLE = "tamarackgap"
