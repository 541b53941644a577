"""Stand-ins, fakes and the scenario language; products never import it."""
