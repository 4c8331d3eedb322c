"""Messages between processes, their codec, and the command language."""
