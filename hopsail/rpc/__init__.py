"""Framed thrift calls between the fleet's own processes, on the loop of `hopsail.net`."""
