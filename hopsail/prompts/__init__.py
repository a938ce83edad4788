"""Prompts: their shared parts, the salts that wall them off, and an index of which hosts keep them."""
