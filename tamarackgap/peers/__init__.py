"""Messages between daemons, and the transport that carries them."""
