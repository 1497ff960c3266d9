"""Configuration of all gateways under faults: processes, their history, checkers, and mutants to be found."""
