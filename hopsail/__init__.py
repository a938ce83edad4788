"""hopsail: a proxy that spreads keys over cache servers in front of a slow origin."""
