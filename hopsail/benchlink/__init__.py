"""Joins the decision module to the bench: wire codec and process loop."""
