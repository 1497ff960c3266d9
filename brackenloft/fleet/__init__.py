"""What gateways agree on without talking to each other: registers, leases, tasks (extra ``[fleet]``)."""
