"""Sound clients beside a crowd of bad ones at a gateway process with little memory, judged from outside."""
