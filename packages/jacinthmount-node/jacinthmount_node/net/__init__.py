"""Network layer: sockets, HTTP, peer connections and the object API."""
