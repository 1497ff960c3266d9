"""Named tasks, each done by one gateway of the fleet at a time."""
