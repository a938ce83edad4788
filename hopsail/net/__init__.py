"""The balancer's network code: it carries events to the decision module and its decisions out."""
