"""Randomized faults on real processes, with checks of the promises."""
