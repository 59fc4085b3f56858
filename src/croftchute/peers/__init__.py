"""Messages between boxes and the socket that carries them."""
