"""Translates between the users' platform and the router.

The platform's terms stand only in this package. Elsewhere they are:

- client: caller
- server: target; its slots are the target's capacity
- machine: VM
- attempt: request, since each attempt of a client has its own id
- shard key: position of a key
- sharded service: keyed service
- the operator's configuration: route table
- the store's table of this system: table
- ver, in rows of the store: revision
"""
