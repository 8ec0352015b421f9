"""Sockets, timers and HTTP on one loop; nothing of the product."""
