"""Messages between daemons, and their transport."""
