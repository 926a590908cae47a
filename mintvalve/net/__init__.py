"""Network side of the program: event loop, connections, protocols and fronts."""
