"""Random faults on real processes, with checks of the fleet's promises."""
