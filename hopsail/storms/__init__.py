"""Retry and reconnect storms: told from bursts and hot keys, damped, and spread over time. No I/O."""

from .control import CALM, Control, Rules, State, Verdict

__all__ = ["CALM", "Control", "Rules", "State", "Verdict"]
